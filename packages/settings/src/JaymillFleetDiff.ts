import type { FleetConfig, PoolConfig } from '@jaymill/core'
import { findRisks, type FleetRisk } from './JaymillFleetRisks.js'

/** Kinds of objects that a change affects. */
export enum SubjectKind {
  Pool = 'pool',
  Endpoint = 'endpoint',
  Model = 'model',
  Service = 'service',
  Route = 'route',
  Account = 'account'
}

/** Kinds of changes. */
export enum ChangeKind {
  Added = 'added',
  Removed = 'removed',
  Changed = 'changed'
}

/** A field that differs between the two configurations. */
export interface FieldChange {
  readonly field: string
  readonly from: unknown
  readonly to: unknown
}

/** An object that differs between the two configurations. */
export interface FleetChange {
  readonly change: ChangeKind
  readonly subject: SubjectKind
  readonly id: string
  /** Pool that an endpoint belongs to; absent for other subjects. */
  readonly poolId?: string
  /** Fields that differ; empty for added and removed subjects. */
  readonly fields: readonly FieldChange[]
}

/** Difference between two fleet configurations. */
export interface FleetDiff {
  readonly fromRevision: number
  readonly toRevision: number
  readonly changes: readonly FleetChange[]
  readonly risks: readonly FleetRisk[]
}

type Identified = Readonly<{ id: string }>
const HIDDEN_FIELDS = ['keySha256']

/**
 * Compares two fleet configurations.
 *
 * @param old - Active configuration.
 * @param next - Configuration to replace it.
 * @returns Changes per subject, and the risks of the replacement.
 */
export function diffFleetConfig (old: FleetConfig, next: FleetConfig): FleetDiff {
  const changes = [
    ...diffItems(SubjectKind.Pool, old.pools.map(withoutEndpoints), next.pools.map(withoutEndpoints)),
    ...diffEndpoints(old.pools, next.pools),
    ...diffItems(SubjectKind.Model, old.models, next.models),
    ...diffItems(SubjectKind.Service, old.services, next.services),
    ...diffItems(SubjectKind.Route, old.routes, next.routes),
    ...diffItems(SubjectKind.Account, old.accounts, next.accounts)
  ]
  const risks = findRisks(old, next, changes.length > 0)
  return { fromRevision: old.revision, toRevision: next.revision, changes, risks }
}

function withoutEndpoints ({ endpoints, ...pool }: PoolConfig): Identified {
  return pool
}

function diffEndpoints (old: readonly PoolConfig[], next: readonly PoolConfig[]): FleetChange[] {
  const poolIds = [...new Set([...old, ...next].map(pool => pool.id))]
  const endpointsOf = (pools: readonly PoolConfig[], id: string) => pools.find(pool => pool.id === id)?.endpoints ?? []
  return poolIds.flatMap(poolId =>
    diffItems(SubjectKind.Endpoint, endpointsOf(old, poolId), endpointsOf(next, poolId))
      .map(change => ({ ...change, poolId })))
}

function diffItems (subject: SubjectKind, old: readonly Identified[], next: readonly Identified[]): FleetChange[] {
  const oldById = new Map(old.map(item => [item.id, item]))
  const nextIds = new Set(next.map(item => item.id))
  const removed = old.filter(item => !nextIds.has(item.id))
    .map(({ id }) => ({ change: ChangeKind.Removed, subject, id, fields: [] }))
  const others = next.flatMap((item): FleetChange[] => {
    const before = oldById.get(item.id)
    if (before === undefined) return [{ change: ChangeKind.Added, subject, id: item.id, fields: [] }]
    const fields = diffFields(before, item)
    return fields.length === 0 ? [] : [{ change: ChangeKind.Changed, subject, id: item.id, fields }]
  })
  return [...removed, ...others]
}

function diffFields (old: Identified, next: Identified): FieldChange[] {
  const before = new Map(Object.entries(old))
  const after = new Map(Object.entries(next))
  return [...new Set([...before.keys(), ...after.keys()])]
    .filter(field => JSON.stringify(before.get(field)) !== JSON.stringify(after.get(field)))
    .map(field => HIDDEN_FIELDS.includes(field)
      ? { field, from: '(hidden)', to: '(hidden)' }
      : { field, from: before.get(field), to: after.get(field) })
}
