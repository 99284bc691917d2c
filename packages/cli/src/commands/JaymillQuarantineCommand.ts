import { ExitCode } from '../JaymillExitCode.js'
import { adminClients, textFlag, type Flags } from '../JaymillFlags.js'
import { queryHosts } from '../JaymillHostResponses.js'
import type { Terminal } from '../JaymillTerminal.js'
import { textTable } from '../render/JaymillTextTable.js'

interface SuspectEntry {
  readonly fingerprint: string
  readonly refused: boolean
  readonly deaths: ReadonlyArray<{ readonly endpointId: string }>
}

/**
 * Lists requests that are suspected of crashing endpoints, or clears one on every given host.
 *
 * @param flags - Admin flags, `clear` and `json`.
 * @param terminal - Receives the list.
 * @returns `Problems` when a listed request is refused.
 * @throws CliError with exit code `NotFound` when no host has the fingerprint to clear.
 */
export async function runQuarantine (flags: Flags, terminal: Terminal): Promise<ExitCode> {
  const fingerprint = textFlag(flags, 'clear')
  if (fingerprint !== undefined) return await clearSuspect(fingerprint, flags, terminal)
  const { responses, exitCode } = await queryHosts<{ suspects: SuspectEntry[] }>(adminClients(flags, terminal), '/quarantine', terminal)
  const suspects = responses.flatMap(({ url, value }) => value.suspects.map(suspect => ({ url, ...suspect })))
  const rows = suspects.map(({ url, fingerprint, refused, deaths }) =>
    [url, fingerprint, refused ? 'refused' : 'suspect', deaths.map(({ endpointId }) => endpointId).join(', ')])
  const table = () => textTable(['host', 'request', 'state', 'failed endpoints'], rows)
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
