import { ErrorKind, JaymillError } from '@jaymill/core'

/** Thrown when the configuration source cannot be read. */
export class SourceError extends JaymillError {
  readonly kind = ErrorKind.ConfigSource
  readonly status = 503
}
