import xxhash from 'xxhash-wasm'

const hasher = await xxhash()

/**
 * Hashes what a request asks an engine to run (XXH64). Retries and resends of the same request have the same value.
 *
 * @param parts - Model, prompt and sampling values in a fixed order.
 * @returns 16 hexadecimal digits.
 */
export function fingerprint (parts: readonly string[]): string {
  return hasher.h64ToString(parts.map(part => `${part.length}:${part}`).join(''))
}
