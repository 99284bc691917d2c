import { AdapterKind, EndpointConfig, FleetConfig, ModelConfig, PoolConfig, PoolRole } from '../fleet/JaymillFleetConfig.js'

/** Model, adapters and role that an engine serves. */
export interface EngineState {
  readonly model: string
  readonly version: string
  /** Adapters (LoRA), sorted. */
  readonly adapters: readonly string[]
  readonly role: PoolRole
}

/** An engine with the state that the configuration assigns to it. */
export interface DesiredEndpoint {
  readonly endpoint: EndpointConfig
  readonly poolId: string
  readonly state: EngineState
}

/**
 * Derives the desired states of the engines; they depend only on the revision of the configuration.
 *
 * @param cfg - Configuration.
 * @returns Engines of pools that serve exactly one model; engines of other pools choose by themselves what they load.
 */
export function desiredEndpoints (cfg: FleetConfig): DesiredEndpoint[] {
  return cfg.pools
    .filter(({ adapter }) => adapter === AdapterKind.Engine)
    .flatMap(pool => desiredOfPool(pool, modelsOf(cfg, pool.id)))
}

function modelsOf (cfg: FleetConfig, poolId: string): ModelConfig[] {
  return cfg.models.filter(({ prefillPool, decodePool }) => prefillPool === poolId || decodePool === poolId)
}

function desiredOfPool (pool: PoolConfig, models: readonly ModelConfig[]): DesiredEndpoint[] {
  const [model] = models
  if (model === undefined || models.length > 1) return []
  const state = { model: model.id, version: model.version, adapters: [...model.adapters].sort(), role: pool.role }
  return pool.endpoints.map(endpoint => ({ endpoint, poolId: pool.id, state }))
}
