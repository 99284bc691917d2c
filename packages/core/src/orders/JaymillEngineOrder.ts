import type { EngineState } from './JaymillDesiredState.js'

/** Kinds of order. Each carries the whole desired state, so that orders are idempotent. */
export enum OrderKind {
  LoadModel = 'load-model',
  LoadAdapters = 'load-adapters',
  ChangeRole = 'change-role',
  /** Changes only the fencing token, so that orders of older revisions are refused. */
  RaiseFence = 'raise-fence'
}

/** Order to an engine. */
export interface EngineOrder extends EngineState {
  readonly kind: OrderKind
  /** Revision of the configuration; the engine refuses orders with a lower one than it has seen. */
  readonly fencingToken: number
}

/** State that an engine reports; the state fields are absent before the first order. */
export interface EngineReport extends Partial<EngineState> {
  readonly fencingToken: number
}

/** Result of an order. */
export enum OrderResult {
  Done = 'done',
  /** The engine has seen a higher fencing token. */
  Stale = 'stale'
}

/**
 * Computes the next order that brings an engine closer to the desired state.
 *
 * @param desired - Desired state.
 * @param report - State that the engine reports.
 * @param fencingToken - Configuration revision of the desired state.
 * @param checksFencing - Whether the engine checks fencing tokens.
 * @returns The order; `undefined` if the engine is in the desired state or has seen a higher revision.
 */
export function nextOrder (
  desired: EngineState, report: EngineReport, fencingToken: number, checksFencing: boolean
): EngineOrder | undefined {
  if (report.fencingToken > fencingToken) return undefined
  const kind = kindFor(desired, report) ?? (checksFencing && report.fencingToken < fencingToken ? OrderKind.RaiseFence : undefined)
  return kind === undefined ? undefined : { ...desired, kind, fencingToken }
}

function kindFor (desired: EngineState, report: EngineReport): OrderKind | undefined {
  if (report.model !== desired.model || report.version !== desired.version) return OrderKind.LoadModel
  if ([...report.adapters ?? []].sort().join('\n') !== desired.adapters.join('\n')) return OrderKind.LoadAdapters
  return report.role === desired.role ? undefined : OrderKind.ChangeRole
}
