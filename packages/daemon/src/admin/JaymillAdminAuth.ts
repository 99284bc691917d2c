import { createHash, timingSafeEqual } from 'node:crypto'
import { ErrorKind, RequestError } from '@jaymill/core'

/**
 * Checks the bearer token of an operator. Digests are compared, so that neither the time nor the length tells anything.
 *
 * @param header - Header Authorization.
 * @param token - Token of the settings.
 * @throws RequestError of kind `Unauthorized`.
 */
export function checkAdminToken (header: string | undefined, token: string): void {
  if (timingSafeEqual(digest(header ?? ''), digest(`Bearer ${token}`))) return
  throw new RequestError(ErrorKind.Unauthorized, 'the admin token is missing or wrong')
}

function digest (text: string): Buffer {
  return createHash('sha256').update(text).digest()
}
