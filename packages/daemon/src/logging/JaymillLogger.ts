import type { Writable } from 'node:stream'
import { createLogger, format, Logger, transports } from 'winston'
import { redact } from './JaymillRedaction.js'

const hideSecrets = format(info => {
  const { level, message, timestamp, ...fields } = info
  const redacted = redact(fields) as Record<string, unknown>
  return Object.assign(info, redacted, { message: redact(message) })
})

/**
 * Creates the structured logger of a host: one JSON line per entry, without secrets.
 *
 * @param level - Least severe level that is written.
 * @param hostId - Id of the host, added to each line.
 * @param stream - Destination of the lines; standard error by default.
 * @returns The logger.
 */
export function createHostLogger (level: string, hostId: string, stream?: Writable): Logger {
  const transport = stream === undefined
    ? new transports.Console({ stderrLevels: ['error', 'warn', 'info', 'debug'] })
    : new transports.Stream({ stream })
  return createLogger({
    level,
    defaultMeta: { host: hostId },
    format: format.combine(format.timestamp(), hideSecrets(), format.json()),
    transports: [transport]
  })
}
