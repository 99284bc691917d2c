import { CliError } from '../JaymillCliError.js'
import { ExitCode } from '../JaymillExitCode.js'
import type { Flags } from '../JaymillFlags.js'
import type { Terminal } from '../JaymillTerminal.js'

/** A decision about a request from the log of a host. */
interface LoggedDecision {
  /** Wall-clock time on the host, in milliseconds since the Unix epoch. */
  readonly at: number
  readonly host: string
  readonly decision: string
  /** Inputs of the decision, their age or version, and the outcome. */
  readonly facts: Readonly<Record<string, unknown>>
}

/**
 * Shows the decisions of all hosts about a request, read from their log files.
 *
 * @param requestId - Id of the request.
 * @param files - Paths of log files, separated by commas; text before the JSON object of a line is skipped.
 * @param flags - `json`.
 * @param terminal - Receives the decisions in chronological order.
 * @returns `Ok`.
 * @throws CliError with exit code `NotFound` when the logs contain no decision about the request.
 */
export function runExplainLog (requestId: string, files: string, flags: Flags, terminal: Terminal): ExitCode {
  const decisions = files.split(',')
    .flatMap(file => terminal.read(file).split('\n'))
    .flatMap(line => decisionOf(line, requestId) ?? [])
    .sort((a, b) => a.at - b.at)
  if (decisions.length === 0) throw new CliError(ExitCode.NotFound, `no log line found for request ${requestId}`)
  terminal.print(flags.json === true ? JSON.stringify(decisions) : decisionsText(requestId, decisions))
  return ExitCode.Ok
}

function decisionOf (line: string, requestId: string): LoggedDecision | undefined {
  if (!line.includes(requestId)) return undefined
  const parsed = parseLine(line.slice(line.indexOf('{')))
  if (parsed?.requestId !== requestId) return undefined
  const { at, host, message, requestId: _id, level: _level, ...facts } = parsed
  return { at: Number(at), host: String(host), decision: String(message), facts }
}

function parseLine (text: string): Record<string, unknown> | undefined {
  try {
    return JSON.parse(text) as Record<string, unknown>
  } catch {
    return undefined
  }
}

function decisionsText (requestId: string, decisions: readonly LoggedDecision[]): string {
  const startMs = decisions[0]?.at ?? 0
  const lines = decisions.map(({ at, host, decision, facts }) => {
    const fieldsText = Object.entries(facts).map(([name, value]) => `${name}=${String(value)}`).join(' ')
    return `  +${String(at - startMs).padStart(6)} ms  ${host}  ${decision}  ${fieldsText}`
  })
  return [`request ${requestId}, ${new Date(startMs).toISOString()}`, ...lines].join('\n')
}
