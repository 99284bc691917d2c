import type { Writable } from 'node:stream'
import { createLogger, format, Logger, transports } from 'winston'
import { redact } from './JaymillRedaction.js'

const hideSecrets = format(info => {
  const { level, message, timestamp, ...members } = info
  const clean = redact(members) as Record<string, unknown>
  return Object.assign(info, clean, { message: redact(message) })
})

/**
 * Makes the structured logger of a host: one JSON line per entry, without secrets.
 *
 * @param level - Least severe level to be written.
 * @param hostId - Id of the host, repeated on each line.
 * @param stream - Where lines go; standard error when absent.
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
