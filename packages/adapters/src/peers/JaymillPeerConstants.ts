/** Path under which the typed calls are served. */
export const TRPC_PATH = '/trpc/'
/** Path prefix under which streamed requests are forwarded. */
export const FORWARD_PATH = '/forward/'
/** Largest body of a typed call, in bytes. */
export const MAX_REQUEST_BYTES = 64 * 1024
/** Largest response to a typed call, in bytes; large enough for a document of 1 MB with JSON escapes. */
export const MAX_RESPONSE_BYTES = 3 * 1024 * 1024
/** Largest header of a request, in bytes. */
export const MAX_HEADER_BYTES = 16 * 1024
/** Timeout for receiving the headers of a request, in milliseconds. */
export const HEADERS_TIMEOUT_MS = 5_000
/** Timeout for receiving the body of a typed call, in milliseconds. */
export const BODY_TIMEOUT_MS = 5_000
/** Time for which an idle connection stays open, in milliseconds; longer than the heartbeat interval. */
export const KEEP_ALIVE_MS = 30_000
/** Timeout for opening a connection to a peer, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 1_000
/** Default timeout of a typed call, in milliseconds. */
export const CALL_TIMEOUT_MS = 2_000
/** Maximum number of connections to one peer for typed calls. */
export const CALL_CONNECTIONS = 4
/** Maximum number of connections to one peer for forwarded streams. */
export const FORWARD_CONNECTIONS = 256
/** Maximum length of an id in a message, in characters. */
export const MAX_ID_CHARS = 256
/** Maximum length of a health summary, in characters. */
export const MAX_HEALTH_CHARS = 4_096
/** Maximum number of host updates in a heartbeat. */
export const MAX_UPDATES = 64
/** Maximum number of leaving endpoints in a heartbeat. */
export const MAX_LEAVING_REPORTS = 64
/** Maximum number of host lists in a lease response. */
export const MAX_LISTS = 64
/** Maximum number of hosts in a list. */
export const MAX_HOSTS = 2_048
/** Maximum number of reservations in one renewal or release. */
export const MAX_BATCH_RESERVATIONS = 256
