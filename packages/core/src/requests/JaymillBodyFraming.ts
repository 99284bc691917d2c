const STATUSES_WITHOUT_BODY: readonly number[] = [204, 304]

/**
 * Tells whether a response may have a body (RFC 9112, section 6.3).
 *
 * @param method - Method of the request.
 * @param status - Final status of the response.
 * @returns Whether the response may have a body.
 */
export function mayHaveBody (method: string | undefined, status: number): boolean {
  return method !== 'HEAD' && !STATUSES_WITHOUT_BODY.includes(status)
}

/**
 * Tells whether the end of a response is marked only by the end of its connection (RFC 9112, section 6.3).
 *
 * @param headers - Headers of a response that may have a body, by lower-case name.
 * @returns Whether the response has neither a length nor chunks.
 */
export function isCloseDelimited (headers: Readonly<Record<string, unknown>>): boolean {
  return headers['content-length'] === undefined && headers['transfer-encoding'] === undefined
}
