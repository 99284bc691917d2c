import type { AdminClient } from './JaymillAdminClient.js'
import { CliError } from './JaymillCliError.js'
import { ExitCode } from './JaymillExitCode.js'
import type { Terminal } from './JaymillTerminal.js'

/** Answer of one host. */
export interface HostAnswer<Value> {
  readonly url: string
  readonly value: Value
}

/** Answers of several hosts. */
export interface HostAnswers<Value> {
  readonly answers: ReadonlyArray<HostAnswer<Value>>
  /** Exit code of the worst failure; `Ok` when all answered. */
  readonly exitCode: ExitCode
}

/**
 * Asks several hosts the same; failures of some are noted and the rest is used.
 *
 * @param clients - Hosts.
 * @param path - Path and query.
 * @param terminal - Receives progress and failures.
 * @returns What was answered.
 * @throws CliError when no host answered.
 */
export async function askHosts<Value> (
  clients: readonly AdminClient[], path: string, terminal: Terminal
): Promise<HostAnswers<Value>> {
  if (clients.length > 1) terminal.note(`asking ${clients.length} hosts`)
  const settled = await Promise.allSettled(clients.map(async client => ({ url: client.url, value: await client.get(path) as Value })))
  const failures = settled.flatMap(result => result.status === 'rejected' ? [result.reason as unknown] : [])
  const answers = settled.flatMap(result => result.status === 'fulfilled' ? [result.value] : [])
  const [first] = failures
  if (answers.length === 0 || (first !== undefined && !(first instanceof CliError))) throw first
  failures.forEach(err => terminal.note((err as Error).message))
  return { answers, exitCode: first instanceof CliError ? first.exitCode : ExitCode.Ok }
}
