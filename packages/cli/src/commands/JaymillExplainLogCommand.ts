import { CliError } from '../JaymillCliError.js'
import { ExitCode } from '../JaymillExitCode.js'
import type { Flags } from '../JaymillFlags.js'
import type { Terminal } from '../JaymillTerminal.js'

/** One decision about a request, as a host has logged it. */
interface LoggedDecision {
  /** Wall-clock time on the host, in milliseconds since the Unix epoch. */
  readonly at: number
  readonly host: string
  readonly decision: string
  /** Inputs, their age or version, and the outcome. */
  readonly facts: Readonly<Record<string, unknown>>
}

/**
 * Shows what all hosts have decided about a request, from their log files.
 *
 * @param requestId - Id of the request.
 * @param files - Paths of log files, separated by commas; text before the JSON of a line is skipped.
 * @param flags - `json`.
 * @param terminal - Receives the decisions in order of time.
 * @returns `Ok`.
 * @throws CliError with exit code `NotFound` when no line is about the request.
 */
export function runExplainLog (requestId: string, files: string, flags: Flags, terminal: Terminal): ExitCode {
  const decisions = files.split(',')
    .flatMap(file => terminal.read(file).split('\n'))
    .flatMap(line => decisionOf(line, requestId) ?? [])
    .sort((a, b) => a.at - b.at)
  if (decisions.length === 0) throw new CliError(ExitCode.NotFound, `no line is about request ${requestId}`)
  terminal.print(flags.json === true ? JSON.stringify(decisions) : storyText(requestId, decisions))
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

function storyText (requestId: string, decisions: readonly LoggedDecision[]): string {
  const startMs = decisions[0]?.at ?? 0
  const lines = decisions.map(({ at, host, decision, facts }) => {
    const told = Object.entries(facts).map(([name, value]) => `${name}=${String(value)}`).join(' ')
    return `  +${String(at - startMs).padStart(6)} ms  ${host}  ${decision}  ${told}`
  })
  return [`request ${requestId}, ${new Date(startMs).toISOString()}`, ...lines].join('\n')
}
