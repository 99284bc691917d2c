/** Maximum size of the log lines that wait for a slow standard output, in bytes; a few seconds of log at the design rate. */
export const LOG_BUFFER_BYTES = 262_144

/** Longest time for which a process that ends waits until its last log lines are written, in milliseconds. */
export const LOG_FLUSH_MS = 100
