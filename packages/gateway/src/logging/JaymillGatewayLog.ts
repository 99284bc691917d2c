import { setTimeout as sleep } from 'node:timers/promises'
import { createLogger, format, transports, type Logger } from 'winston'
import { BoundedOutput } from './JaymillBoundedOutput.js'
import { LOG_FLUSH_MS } from './constants.js'

/** Fields of one log line. Names are fixed; values are ids, numbers and enum members, never headers or bodies. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>

/** Structured log of a host: one JSON line for each decision and each state change. */
export class GatewayLog {
  private readonly _logger: Logger
  private readonly _output: NodeJS.WritableStream

  /**
   * @param level - Minimum level that is written.
   * @param host - Id of this host, repeated on each line.
   * @param output - Output stream; standard output by default.
   */
  constructor (level: string, host: string, output: NodeJS.WritableStream = new BoundedOutput(1)) {
    this._output = output
    this._logger = createLogger({
      level,
      defaultMeta: { host },
      format: format.combine(format(info => Object.assign(info, { at: Date.now() }))(), format.json()),
      transports: [new transports.Stream({ stream: output })]
    })
  }

  /**
   * Logs a decision about a request.
   *
   * @param requestId - Id of the request.
   * @param decision - What was decided.
   * @param fields - Inputs, their age or version, and the outcome.
   */
  request (requestId: string, decision: string, fields: LogFields): void {
    this._logger.info(decision, { requestId, ...fields })
  }

  /**
   * Logs a change in the state of this host, or of its peers, endpoints or source as this host sees them.
   *
   * @param change - What changed.
   * @param fields - Inputs, their age or version, and the outcome.
   */
  stateChange (change: string, fields: LogFields): void {
    this._logger.info(change, fields)
  }

  /**
   * Logs a problem that an operator should look at.
   *
   * @param message - What happened.
   * @param fields - Details.
   */
  warn (message: string, fields: LogFields): void {
    this._logger.warn(message, fields)
  }

  /** Waits until the lines so far are written, for a limited time: a reader that stands still must not keep the process. */
  async flush (): Promise<void> {
    if (this._output instanceof BoundedOutput) await Promise.race([this._output.flushed(), sleep(LOG_FLUSH_MS)])
  }
}
