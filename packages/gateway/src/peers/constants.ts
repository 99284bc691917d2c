/** Time without a heartbeat after which a peer that is not a seed is removed, in milliseconds; longer than a restart of a machine. */
export const PEER_FORGET_MS = 30_000

/** Interval between checks for due heartbeats and lost peers, in milliseconds; a third of the shortest heartbeat interval. */
export const HOST_HEARTBEAT_CHECK_MS = 100

/** Live peers that one heartbeat lists; successive ones list others, so that all hosts are discovered within a few heartbeats. */
export const HOSTS_PER_HEARTBEAT = 4

/** Interval between the digests that relays of different availability zones exchange, in milliseconds. */
export const ZONE_DIGEST_INTERVAL_MS = 1_000

/** Interval between the digests that a relay sends to the hosts that report to it, in milliseconds; each host has two relays. */
export const FLEET_DIGEST_INTERVAL_MS = 2_000

/** Time after which the digest of another zone is dropped, in milliseconds; some lost ones. */
export const ZONE_DIGEST_TIMEOUT_MS = 5_000

/** Largest number in a report of how long the calls of an endpoint took; messages with larger ones are malformed there. */
export const MAX_REPORTED_CALLS = 1_000_000

/** Endpoints whose work or speed one message reports; keeps a digest within one datagram. */
export const MAX_SHARES_PER_MESSAGE = 60

/** Maximum number of rate limits of endpoints in the report of a host; keeps it within one datagram. */
export const MAX_HOST_LIMITS = 16

/** Maximum number of rate limits in any other message, which may be a full part of a digest. */
export const MAX_DIGEST_LIMITS = 4

/** Maximum number of client accounts whose use of their quotas one message reports; keeps it within one datagram. */
export const MAX_ACCOUNT_USES = 16

/** Interval between the digests of quotas while an account is close to its limit, in milliseconds. */
export const QUOTA_BUSY_INTERVAL_MS = 600

/** Age of the last digest of the fleet from which a host counts as out of touch with the others, in milliseconds. */
export const FLEET_DIGEST_TIMEOUT_MS = 4_500

/** Time for which a silent host may still be serving requests, in milliseconds. */
export const SILENT_HOST_MEMORY_MS = 30_000

/** Maximum size of the endpoint changes in one message, in bytes; larger ones are fetched. */
export const BATCHES_MAX_BYTES = 600

/** Time for which updates from the source are coalesced before a relay passes them on, in milliseconds. */
export const UPDATE_COALESCE_MS = 50

/** Interval between reports of crashes that have not changed, in milliseconds. */
export const CRASH_REPORT_INTERVAL_MS = 500

/** Timeout for fetching a document from another host, in milliseconds. */
export const DOCUMENT_TIMEOUT_MS = 1_000

/** Time for which a host waits for its own source before it fetches a newer document from another host, in milliseconds. */
export const DOCUMENT_FETCH_DELAY_MS = 100

/** Minimum size of a compressed document, in bytes: for smaller ones, compression costs more time than it saves. */
export const COMPRESS_BYTES = 4_096
