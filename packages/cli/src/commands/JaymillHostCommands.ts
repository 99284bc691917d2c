import type { DecisionEntry } from '@jaymill/core'
import { CliError } from '../JaymillCliError.js'
import { ExitCode } from '../JaymillExitCode.js'
import { adminClients, positiveIntegerFlag, textFlag, type Flags } from '../JaymillFlags.js'
import { queryHosts } from '../JaymillHostResponses.js'
import type { Terminal } from '../JaymillTerminal.js'
import { textTable } from '../render/JaymillTextTable.js'

interface HostStatus {
  readonly host: { readonly id: string, readonly zone: string, readonly region: string, readonly incarnation: number }
  readonly ready: boolean
  readonly draining: boolean
  readonly fleetRevision: number
  readonly hostListRevision: number
  readonly running: number
  readonly configuration?: { readonly gate: { readonly reason?: string } }
}

interface EndpointEntry {
  readonly id: string
  readonly poolId: string
  readonly role: string
  readonly zone: string
  readonly url: string
  readonly leaving: boolean
  readonly slots: number
  readonly runningHere: number
}

interface RequestEntry {
  readonly requestId: string
  readonly accountId: string
  readonly routeId: string
  readonly state: string
  readonly ran?: string
  readonly errorKind?: string
  readonly ttftMs?: number
  readonly tokens: number
}

interface RequestExplanation extends RequestEntry {
  readonly decisions: readonly DecisionEntry[]
}

/**
 * Shows the status of the given hosts.
 *
 * @param flags - Admin flags and `json`.
 * @param terminal - Receives the status.
 * @returns `Problems` when a host is not ready; the exit code of a failed host takes precedence.
 */
export async function runStatus (flags: Flags, terminal: Terminal): Promise<ExitCode> {
  const { responses, exitCode } = await queryHosts<HostStatus>(adminClients(flags, terminal), '/status', terminal)
  const rows = responses.map(({ value }) => [
    value.host.id, value.host.zone, value.draining ? 'draining' : value.ready ? 'ready' : 'not ready',
    value.fleetRevision, value.hostListRevision, value.running, value.configuration?.gate.reason ?? ''
  ])
  const table = () => textTable(['host', 'zone', 'state', 'fleet revision', 'host list revision', 'running', 'held back by'], rows)
  terminal.print(flags.json === true ? JSON.stringify(responses) : table())
  if (exitCode !== ExitCode.Ok) return exitCode
  return responses.every(({ value }) => value.ready) ? ExitCode.Ok : ExitCode.Problems
}

/**
 * Shows endpoints, with the number of requests that the given hosts run on each.
 *
 * @param flags - Admin flags and `json`.
 * @param terminal - Receives the list.
 * @returns `Ok`, or the exit code of a host that failed.
 */
export async function runEndpoints (flags: Flags, terminal: Terminal): Promise<ExitCode> {
  const hostResponses = await queryHosts<{ endpoints: EndpointEntry[] }>(adminClients(flags, terminal), '/endpoints', terminal)
  const byId = new Map<string, EndpointEntry>()
  hostResponses.responses.flatMap(({ value }) => value.endpoints).forEach(endpoint => {
    const runningHere = endpoint.runningHere + (byId.get(endpoint.id)?.runningHere ?? 0)
    byId.set(endpoint.id, { ...endpoint, runningHere })
  })
  const endpoints = [...byId.values()]
  const rows = endpoints.map(({ id, poolId, role, zone, leaving, slots, runningHere }) =>
    [id, poolId, role, zone, leaving ? 'leaving' : 'active', slots, runningHere])
  const table = () => textTable(['endpoint', 'pool', 'role', 'zone', 'state', 'slots', 'running'], rows)
  terminal.print(flags.json === true ? JSON.stringify(endpoints) : table())
  return hostResponses.exitCode
}

/**
 * Lists requests, newest first.
 *
 * @param flags - Admin flags, `state`, `route`, `account`, `limit` and `json`.
 * @param terminal - Receives the list.
 * @returns `Ok`, or the exit code of a host that failed.
 */
export async function runRequests (flags: Flags, terminal: Terminal): Promise<ExitCode> {
  const query = new URLSearchParams(['state', 'route', 'account', 'limit'].flatMap((name): Array<[string, string]> => {
    const value = name === 'limit' ? positiveIntegerFlag(flags, name) : textFlag(flags, name)
    return value === undefined ? [] : [[name, String(value)]]
  }))
  const hostResponses = await queryHosts<{ matching: number, requests: RequestEntry[] }>(
    adminClients(flags, terminal), `/requests?${query.toString()}`, terminal)
  const rows = hostResponses.responses.flatMap(({ value }) => value.requests.map(request => [
    request.requestId, request.accountId, request.routeId, request.state, request.ran ?? '', request.errorKind ?? '',
    request.ttftMs === undefined ? '' : request.ttftMs.toFixed(0), request.tokens
  ]))
  const table = () => textTable(['request', 'account', 'route', 'state', 'ran', 'error', 'TTFT ms', 'tokens'], rows)
  terminal.print(flags.json === true ? JSON.stringify(hostResponses.responses) : table())
  return hostResponses.exitCode
}

/**
 * Shows each decision about a request, with its reason.
 *
 * @param requestId - Id of the request.
 * @param flags - Admin flags and `json`.
 * @param terminal - Receives the explanation.
 * @returns `Ok`.
 * @throws CliError with exit code `NotFound` when none of the given hosts has a record of the request.
 */
export async function runExplain (requestId: string, flags: Flags, terminal: Terminal): Promise<ExitCode> {
  const clients = adminClients(flags, terminal)
  const path = `/requests/${encodeURIComponent(requestId)}/explain`
  const settled = await Promise.allSettled(clients.map(async client => ({ url: client.url, value: await client.get(path) as RequestExplanation })))
  const responses = settled.flatMap(result => result.status === 'fulfilled' ? [result.value] : [])
  const failures = settled.flatMap(result => result.status === 'rejected' ? [result.reason as unknown] : [])
  if (responses.length === 0) throw failures.find(err => err instanceof CliError && err.exitCode !== ExitCode.NotFound) ?? failures[0]
  terminal.print(flags.json === true ? JSON.stringify(responses) : responses.map(({ url, value }) => explainText(url, value)).join('\n\n'))
  return ExitCode.Ok
}

function explainText (url: string, request: RequestExplanation): string {
  const { requestId, routeId, accountId, state, ran, errorKind } = request
  const outcome = [state, ...(ran === undefined ? [] : [`ran: ${ran}`]), ...(errorKind === undefined ? [] : [errorKind])].join(', ')
  const rows = request.decisions.map(({ atMs, event, target, reason }) => [`+${atMs.toFixed(1)} ms`, event, target ?? '', reason])
  return `${requestId} on ${url}\n${accountId} on ${routeId}: ${outcome}\n${textTable(['at', 'event', 'target', 'reason'], rows)}`
}
