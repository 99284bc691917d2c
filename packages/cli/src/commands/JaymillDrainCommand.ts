import { setTimeout as sleep } from 'node:timers/promises'
import type { AdminClient } from '../JaymillAdminClient.js'
import { CliError } from '../JaymillCliError.js'
import { ExitCode } from '../JaymillExitCode.js'
import { adminClients, type Flags } from '../JaymillFlags.js'
import type { Terminal } from '../JaymillTerminal.js'

const POLL_MS = 1_000

/**
 * Starts a graceful stop of one host.
 *
 * @param flags - Admin flags, `wait` and `json`.
 * @param terminal - Receives progress.
 * @returns `Ok` once the drain has started, or with `wait` once the host has stopped.
 * @throws CliError with exit code `Usage` when more than one host is given.
 */
export async function runDrain (flags: Flags, terminal: Terminal): Promise<ExitCode> {
  const [client, ...others] = adminClients(flags, terminal)
  if (client === undefined || others.length > 0) throw new CliError(ExitCode.Usage, 'drain accepts only one host at a time')
  await client.post('/drain')
  if (flags.wait === true) await waitUntilStopped(client, terminal)
  const state = flags.wait === true ? 'stopped' : 'draining'
  terminal.print(flags.json === true ? JSON.stringify({ url: client.url, state }) : `${client.url} is ${state}`)
  return ExitCode.Ok
}

async function waitUntilStopped (client: AdminClient, terminal: Terminal): Promise<void> {
  const running = await runningRequests(client)
  if (running === undefined) return
  terminal.printDiagnostic(`${running} requests still running`)
  await sleep(POLL_MS)
  await waitUntilStopped(client, terminal)
}

async function runningRequests (client: AdminClient): Promise<number | undefined> {
  try {
    return (await client.get('/status') as { running: number }).running
  } catch (err) {
    if (err instanceof CliError && err.exitCode === ExitCode.Unreachable) return undefined
    throw err
  }
}
