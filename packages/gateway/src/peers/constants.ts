/** Time between two beacons of an idle host to each other host, in milliseconds. */
export const BEACON_INTERVAL_MS = 300

/** Time for which changes of load are gathered into one beacon, in milliseconds; about a round trip within a region. */
export const BEACON_GATHER_MS = 5

/** Silence after which another host's work is forgotten, in milliseconds; several lost beacons. */
export const PEER_SILENT_MS = 1_500

/** Silence after which another host is no longer written to, in milliseconds; longer than a restart of a machine. */
export const PEER_FORGET_MS = 30_000

/** Largest datagram, in bytes; fits one Ethernet frame's payload nine times, which loopback and local networks fragment. */
export const MAX_DATAGRAM_BYTES = 8_192

/** Time for fetching a document from another host, in milliseconds. */
export const DOCUMENT_TIMEOUT_MS = 1_000

/** Time that the own source gets before a newer document of another host is fetched, in milliseconds. */
export const DOCUMENT_PATIENCE_MS = 100
