import { readFileSync } from 'node:fs'
import { type HostSettings, SettingsError } from '@jaymill/settings'

/** Contents of the TLS files, in PEM format. */
export interface TlsFiles {
  readonly key: string
  readonly cert: string
  readonly ca: string
}

/**
 * Reads the TLS files named in the settings.
 *
 * @param tls - Paths of the files.
 * @returns Contents of the files; the certificate chain serves as the authorities if `caPath` is absent.
 * @throws SettingsError that names the file that cannot be read.
 */
export function readTlsFiles ({ keyPath, certPath, caPath }: NonNullable<HostSettings['tls']>): TlsFiles {
  return {
    key: readText('tls.keyPath', keyPath),
    cert: readText('tls.certPath', certPath),
    ca: readText('tls.caPath', caPath ?? certPath)
  }
}

function readText (path: string, file: string): string {
  try {
    return readFileSync(file, 'utf8')
  } catch {
    throw new SettingsError('tls', [{ path, line: 1, column: 1, message: `${file} cannot be read` }])
  }
}
