import { readFileSync } from 'node:fs'
import { SecretReader } from '@jaymill/settings'

/** Reads secrets from environment variables and files. */
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
