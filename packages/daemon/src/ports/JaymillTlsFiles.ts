import { readFileSync } from 'node:fs'
import { SettingsError, type HostSettings } from '@jaymill/settings'

/** Texts of the TLS files, PEM. */
export interface TlsFiles {
  readonly key: string
  readonly cert: string
  readonly ca: string
}

/**
 * Reads the TLS files that the settings name.
 *
 * @param tls - Paths.
 * @returns Texts; the certificate chain stands for the authorities when none are named.
 * @throws SettingsError that names the file that can't be read.
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
    throw new SettingsError('tls', [{ path, line: 1, column: 1, message: `${file} can't be read` }])
  }
}
