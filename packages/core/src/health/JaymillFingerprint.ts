import xxhash from 'xxhash-wasm'

const hasher = await xxhash()

/**
 * Hashes the parts of a request that an engine runs (XXH64). Retries and resends of the same request have the same hash.
 *
 * @param parts - Model, prompt and sampling values in a fixed order.
 * @returns 16 hexadecimal digits.
 */
export function fingerprint (parts: readonly string[]): string {
  return hasher.h64ToString(parts.map(part => `${part.length}:${part}`).join(''))
}
