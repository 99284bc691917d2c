import { ErrorKind, JaymillError } from '@jaymill/core'

/** The configuration source can not be read. */
export class SourceError extends JaymillError {
  readonly kind = ErrorKind.ConfigSource
  readonly status = 503
}
