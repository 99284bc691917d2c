import type { SecretSource } from './JaymillHostSettings.js'
import { SettingsError } from './JaymillSettingsError.js'

/** Where secrets are read from. */
export abstract class SecretReader {
  /**
   * @param name - Name of an environment variable.
   * @returns Its value, or `undefined`.
   */
  abstract env (name: string): string | undefined

  /**
   * @param path - Path of a file.
   * @returns Its text, or `undefined` when it can't be read.
   */
  abstract file (path: string): string | undefined
}

/**
 * Reads a secret from the place that the settings name.
 *
 * @param source - Place of the secret.
 * @param path - Path of the source in the settings, for the error.
 * @param reader - Access to environment and files.
 * @returns The secret, without white space around it.
 * @throws SettingsError when the place holds nothing; the error never shows a secret.
 */
export function readSecret (source: SecretSource, path: string, reader: SecretReader): string {
  const found = source.value ??
    (source.env === undefined ? undefined : reader.env(source.env)) ??
    (source.file === undefined ? undefined : reader.file(source.file))
  const secret = found?.trim() ?? ''
  if (secret !== '') return secret
  const place = source.env === undefined ? `file ${source.file ?? ''}` : `environment variable ${source.env}`
  throw new SettingsError('credentials', [{ path, line: 1, column: 1, message: `${place} holds no secret` }])
}
