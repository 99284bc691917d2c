import xxhash from 'xxhash-wasm'

const hasher = await xxhash()

/**
 * Hashes the fields of a request that determine what an engine runs (XXH64). A retry of a request, by the router or by
 * its caller, has the same hash.
 *
 * @param fields - Model, prompt and sampling values in a fixed order.
 * @returns 16 hexadecimal digits.
 */
export function fingerprint (fields: readonly string[]): string {
  return hasher.h64ToString(fields.map(field => `${field.length}:${field}`).join(''))
}
