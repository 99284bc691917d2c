import { createHash, timingSafeEqual } from 'node:crypto'
import { ErrorKind, RequestError } from '@jaymill/core'

/**
 * Checks the bearer token of an operator. Compares digests in constant time, so that timing reveals neither the token nor its
 * length.
 *
 * @param header - Value of the `Authorization` header.
 * @param token - Token from the settings.
 * @throws RequestError of kind `Unauthorized` if the token is missing or wrong.
 */
export function checkAdminToken (header: string | undefined, token: string): void {
  if (timingSafeEqual(digest(header ?? ''), digest(`Bearer ${token}`))) return
  throw new RequestError(ErrorKind.Unauthorized, 'the admin token is missing or wrong')
}

function digest (text: string): Buffer {
  return createHash('sha256').update(text).digest()
}
