/** Time without a heartbeat after which a peer that is not a seed is removed, in milliseconds; longer than a restart of a machine. */
export const PEER_FORGET_MS = 30_000

/** Interval between checks for due heartbeats and lost peers, in milliseconds; a third of the shortest heartbeat interval. */
export const HOST_HEARTBEAT_CHECK_MS = 100

/** Live peers that one heartbeat lists; successive ones list others, so that all hosts are discovered within a few heartbeats. */
export const HOSTS_PER_HEARTBEAT = 4

/** Timeout for fetching a document from another host, in milliseconds. */
export const DOCUMENT_TIMEOUT_MS = 1_000

/** Time for which a host waits for its own source before it fetches a newer document from another host, in milliseconds. */
export const DOCUMENT_FETCH_DELAY_MS = 100

/** Minimum size of a compressed document, in bytes: for smaller ones, compression costs more time than it saves. */
export const COMPRESS_BYTES = 4_096
