import type { SecretSource } from './JaymillHostSettings.js'
import { SettingsError } from './JaymillSettingsError.js'

/** Access to the environment variables and files that contain secrets. */
export abstract class SecretReader {
  /**
   * Reads an environment variable.
   *
   * @param name - Name of the variable.
   * @returns Its value, or `undefined` when it is not set.
   */
  abstract env (name: string): string | undefined

  /**
   * Reads a file.
   *
   * @param path - Path of the file.
   * @returns Its text, or `undefined` when it cannot be read.
   */
  abstract file (path: string): string | undefined
}

/**
 * Reads a secret from the location given in the settings.
 *
 * @param source - Location of the secret.
 * @param path - Path of the source in the settings, for the error message.
 * @param reader - Access to environment and files.
 * @returns The secret, without leading and trailing white space.
 * @throws SettingsError when the location contains no secret; the message never includes a secret.
 */
export function readSecret (source: SecretSource, path: string, reader: SecretReader): string {
  const rawSecret = source.value ??
    (source.env === undefined ? undefined : reader.env(source.env)) ??
    (source.file === undefined ? undefined : reader.file(source.file))
  const secret = rawSecret?.trim() ?? ''
  if (secret !== '') return secret
  const location = source.env === undefined ? `file ${source.file ?? ''}` : `environment variable ${source.env}`
  throw new SettingsError('credentials', [{ path, line: 1, column: 1, message: `${location} contains no secret` }])
}
