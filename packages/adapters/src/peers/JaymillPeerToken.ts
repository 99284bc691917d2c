import { createHash, timingSafeEqual } from 'node:crypto'

const BEARER = /^Bearer (.+)$/

const digestOf = (text: string): Buffer => createHash('sha256').update(text).digest()

/**
 * Checks a bearer token with a comparison in constant time.
 *
 * @param header - Value of the `authorization` header.
 * @param token - Expected token; an empty one never matches.
 * @returns Whether the request carries the token.
 */
export function hasPeerToken (header: string | undefined, token: string): boolean {
  const receivedToken = BEARER.exec(header ?? '')?.[1] ?? ''
  return timingSafeEqual(digestOf(receivedToken), digestOf(token)) && token !== ''
}
