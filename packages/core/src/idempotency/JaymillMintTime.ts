const UUID_V7 = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i
const TIME_DIGITS = 12

/**
 * Reads the time at which a key was minted from a UUID version 7 (RFC 9562, section 5.7).
 *
 * @param key - Idempotency key as the caller sent it.
 * @returns Wall-clock milliseconds since the Unix epoch, or `undefined` if the key contains no time.
 */
export function mintTimeMs (key: string): number | undefined {
  if (!UUID_V7.test(key)) return undefined
  return Number.parseInt(key.replaceAll('-', '').slice(0, TIME_DIGITS), 16)
}
