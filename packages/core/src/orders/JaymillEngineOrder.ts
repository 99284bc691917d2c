import type { EngineState } from './JaymillDesiredState.js'

/** Kinds of order; each carries the whole desired state, so that a repeat changes nothing. */
export enum OrderKind {
  LoadModel = 'load-model',
  LoadAdapters = 'load-adapters',
  ChangeRole = 'change-role',
  /** Changes nothing but the fencing token, so that orders of older revisions are refused. */
  RaiseFence = 'raise-fence'
}

/** Order to an engine. */
export interface EngineOrder extends EngineState {
  readonly kind: OrderKind
  /** Revision of the configuration; the engine refuses a lower one than it has seen. */
  readonly fencingToken: number
}

/** What an engine says it serves; members are absent before the first order. */
export interface EngineReport extends Partial<EngineState> {
  readonly fencingToken: number
}

/** How an engine took an order. */
export enum OrderAnswer {
  Done = 'done',
  /** The engine has seen a higher fencing token. */
  Stale = 'stale'
}

/**
 * Next order that brings an engine closer to the desired state.
 *
 * @param desired - Desired state.
 * @param report - What the engine says.
 * @param fencingToken - Revision that the desired state is of.
 * @param fenced - Whether the engine checks fencing tokens.
 * @returns The order; `undefined` when the engine is as desired, or obeys a higher revision.
 */
export function nextOrder (
  desired: EngineState, report: EngineReport, fencingToken: number, fenced: boolean
): EngineOrder | undefined {
  if (report.fencingToken > fencingToken) return undefined
  const kind = kindFor(desired, report) ?? (fenced && report.fencingToken < fencingToken ? OrderKind.RaiseFence : undefined)
  return kind === undefined ? undefined : { ...desired, kind, fencingToken }
}

function kindFor (desired: EngineState, report: EngineReport): OrderKind | undefined {
  if (report.model !== desired.model || report.version !== desired.version) return OrderKind.LoadModel
  if ([...report.adapters ?? []].sort().join('\n') !== desired.adapters.join('\n')) return OrderKind.LoadAdapters
  return report.role === desired.role ? undefined : OrderKind.ChangeRole
}
