import { readFileSync } from 'node:fs'
import { SecretReader } from '@jaymill/settings'

/** Secrets from the environment and files of the machine. */
export class SystemSecretReader extends SecretReader {
  /** {@inheritDoc @jaymill/settings#SecretReader.env} */
  env (name: string): string | undefined {
    return process.env[name]
  }

  /** {@inheritDoc @jaymill/settings#SecretReader.file} */
  file (path: string): string | undefined {
    try {
      return readFileSync(path, 'utf8')
    } catch {
      return undefined
    }
  }
}
