/** Path under which the typed calls are served. */
export const TRPC_PATH = '/trpc/'
/** Path prefix under which streamed requests are forwarded. */
export const FORWARD_PATH = '/forward/'
/** Largest body of a typed call, in bytes. */
export const MAX_QUESTION_BYTES = 64 * 1024
/** Largest answer to a typed call, in bytes; a document of 1 MB in JSON escapes fits. */
export const MAX_ANSWER_BYTES = 3 * 1024 * 1024
/** Largest header of a request, in bytes. */
export const MAX_HEADER_BYTES = 16 * 1024
/** Time to receive the headers of a request, in milliseconds. */
export const HEADERS_TIMEOUT_MS = 5_000
/** Time to receive the body of a typed call, in milliseconds. */
export const QUESTION_TIMEOUT_MS = 5_000
/** Time that an idle connection stays open, in milliseconds; longer than the heartbeat interval. */
export const KEEP_ALIVE_MS = 30_000
/** Time to open a connection to a peer, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 1_000
/** Default time for a typed call, in milliseconds. */
export const CALL_TIMEOUT_MS = 2_000
/** Connections to one peer for typed calls. */
export const CALL_CONNECTIONS = 4
/** Connections to one peer for forwarded streams. */
export const FORWARD_CONNECTIONS = 256
/** Length of an id in a message, in characters. */
export const MAX_ID_CHARS = 256
/** Largest health digest, in characters. */
export const MAX_HEALTH_CHARS = 4_096
/** Most host updates in a heartbeat. */
export const MAX_UPDATES = 64
/** Most leaving endpoints in a heartbeat. */
export const MAX_LEAVING_MARKS = 64
/** Most host lists in a lease answer. */
export const MAX_LISTS = 64
/** Most hosts in a list. */
export const MAX_HOSTS = 2_048
/** Most grants in one renewal or release. */
export const MAX_GRANT_MARKS = 256
