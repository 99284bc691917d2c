import { createLogger, format, Logger, transports } from 'winston'

/**
 * Makes the structured logger of a host.
 *
 * @param level - Least severe level to be written.
 * @param hostId - Id of the host, repeated on each line.
 * @returns The logger.
 */
export function createHostLogger (level: string, hostId: string): Logger {
  return createLogger({
    level,
    defaultMeta: { host: hostId },
    format: format.combine(format.timestamp(), format.errors({ stack: false }), format.json()),
    transports: [new transports.Console({ stderrLevels: ['error', 'warn', 'info', 'debug'] })]
  })
}
