import { ErrorKind, JaymillError } from '@jaymill/core'

/** The publisher of configuration and endpoints can't be read. */
export class SourceError extends JaymillError {
  readonly kind = ErrorKind.Platform
  readonly status = 503
}
