import type { AdminClient } from './JaymillAdminClient.js'
import { CliError } from './JaymillCliError.js'
import { ExitCode } from './JaymillExitCode.js'
import type { Terminal } from './JaymillTerminal.js'

/** Response of one host. */
export interface HostResponse<Value> {
  readonly url: string
  readonly value: Value
}

/** Responses of several hosts. */
export interface HostResponses<Value> {
  readonly responses: ReadonlyArray<HostResponse<Value>>
  /** Exit code of the first failure; `Ok` when all hosts responded. */
  readonly exitCode: ExitCode
}

/**
 * Sends the same request to several hosts. The failure of some hosts is reported; the responses of the others are used.
 *
 * @param clients - Clients of the hosts.
 * @param path - Path and query.
 * @param terminal - Receives progress and failures.
 * @returns The responses, and the exit code of the first failure.
 * @throws CliError when no host responded.
 */
export async function queryHosts<Value> (
  clients: readonly AdminClient[], path: string, terminal: Terminal
): Promise<HostResponses<Value>> {
  if (clients.length > 1) terminal.printDiagnostic(`querying ${clients.length} hosts`)
  const settled = await Promise.allSettled(clients.map(async client => ({ url: client.url, value: await client.get(path) as Value })))
  const failures = settled.flatMap(result => result.status === 'rejected' ? [result.reason as unknown] : [])
  const responses = settled.flatMap(result => result.status === 'fulfilled' ? [result.value] : [])
  const [first] = failures
  if (responses.length === 0 || (first !== undefined && !(first instanceof CliError))) throw first
  failures.forEach(err => terminal.printDiagnostic((err as Error).message))
  return { responses, exitCode: first instanceof CliError ? first.exitCode : ExitCode.Ok }
}
