import { ExitCode } from '../JaymillExitCode.js'
import { adminClients, textFlag, type Flags } from '../JaymillFlags.js'
import { askHosts } from '../JaymillHostAnswers.js'
import type { Terminal } from '../JaymillTerminal.js'
import { textTable } from '../render/JaymillTextTable.js'

interface SuspectAnswer {
  readonly fingerprint: string
  readonly refused: boolean
  readonly deaths: ReadonlyArray<{ readonly endpointId: string }>
}

/**
 * Lists requests that are suspected of stopping endpoints, or clears one on every named host.
 *
 * @param flags - Admin flags, `clear` and `json`.
 * @param terminal - Receives the list.
 * @returns `Problems` when a request is refused.
 * @throws CliError with exit code `NotFound` when the suspect to be cleared is not known.
 */
export async function runQuarantine (flags: Flags, terminal: Terminal): Promise<ExitCode> {
  const fingerprint = textFlag(flags, 'clear')
  if (fingerprint !== undefined) return await clearSuspect(fingerprint, flags, terminal)
  const { answers, exitCode } = await askHosts<{ suspects: SuspectAnswer[] }>(adminClients(flags, terminal), '/quarantine', terminal)
  const suspects = answers.flatMap(({ url, value }) => value.suspects.map(suspect => ({ url, ...suspect })))
  const rows = suspects.map(({ url, fingerprint, refused, deaths }) =>
    [url, fingerprint, refused ? 'refused' : 'suspect', deaths.map(({ endpointId }) => endpointId).join(', ')])
  const table = () => textTable(['host', 'request', 'state', 'endpoints that died'], rows)
  terminal.print(flags.json === true ? JSON.stringify(suspects) : table())
  if (exitCode !== ExitCode.Ok) return exitCode
  return suspects.some(({ refused }) => refused) ? ExitCode.Problems : ExitCode.Ok
}

async function clearSuspect (fingerprint: string, flags: Flags, terminal: Terminal): Promise<ExitCode> {
  const path = `/quarantine/${encodeURIComponent(fingerprint)}`
  const settled = await Promise.allSettled(adminClients(flags, terminal).map(client => client.delete(path)))
  const failures = settled.flatMap(result => result.status === 'rejected' ? [result.reason as unknown] : [])
  if (failures.length === settled.length) throw failures[0]
  const cleared = settled.length - failures.length
  terminal.print(flags.json === true ? JSON.stringify({ fingerprint, cleared }) : `cleared ${fingerprint} on ${cleared} hosts`)
  return ExitCode.Ok
}
