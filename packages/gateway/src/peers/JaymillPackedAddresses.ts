const ADDRESS_BYTES = 4

/**
 * Packs IPv4 addresses into four bytes each.
 *
 * @param addresses - Addresses in dotted decimal notation.
 * @returns The packed addresses, in the same order.
 */
export function packAddresses (addresses: readonly string[]): Uint8Array {
  return Uint8Array.from(addresses.flatMap(address => address.split('.').map(Number)))
}

/**
 * Unpacks IPv4 addresses.
 *
 * @param bytes - Packed addresses.
 * @returns The addresses in dotted decimal notation, in the same order.
 */
export function unpackAddresses (bytes: Uint8Array): readonly string[] {
  return Array.from({ length: Math.floor(bytes.length / ADDRESS_BYTES) }, (_, i) => (
    bytes.subarray(i * ADDRESS_BYTES, (i + 1) * ADDRESS_BYTES).join('.')
  ))
}
