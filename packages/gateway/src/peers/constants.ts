/** Silence after which another host is no longer written to, in milliseconds; longer than a restart of a machine. */
export const PEER_FORGET_MS = 30_000

/** Pause between two looks at what is due, in milliseconds; a third of the shortest interval between beacons. */
export const BEACON_CHECK_MS = 100

/** Other hosts that one beacon names; each names others in turn, so that all become known within some beacons. */
export const HOSTS_PER_BEACON = 4

/** Time for fetching a document from another host, in milliseconds. */
export const DOCUMENT_TIMEOUT_MS = 1_000

/** Time that the own source gets before a newer document of another host is fetched, in milliseconds. */
export const DOCUMENT_PATIENCE_MS = 100

/** Size from which a document is compressed, in bytes: below, compression costs more time than it saves. */
export const COMPRESS_BYTES = 4_096
