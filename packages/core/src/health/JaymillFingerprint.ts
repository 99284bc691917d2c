import xxhash from 'xxhash-wasm'

const hasher = await xxhash()

/** Size of the parts in which bytes are hashed; the hash function copies each into its own memory, which never shrinks. */
const PART_BYTES = 65_536
const HEX = 16

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

/**
 * Hashes the fields of a request and its body.
 *
 * @param fields - Values in a fixed order.
 * @param body - Body of the request.
 * @returns 16 hexadecimal digits.
 */
export function fingerprintWithBytes (fields: readonly string[], body: Uint8Array): string {
  const head = [...fields.map(field => `${field.length}:${field}`), `${body.length}:`].join('')
  const parts = Array.from({ length: Math.ceil(body.length / PART_BYTES) }, (_, i) => body.subarray(i * PART_BYTES, (i + 1) * PART_BYTES))
  const hash = parts.reduce((state, part) => state.update(part), hasher.create64().update(head))
  return hash.digest().toString(HEX).padStart(HEX, '0')
}
