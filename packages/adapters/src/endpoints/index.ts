export type { ConnectionLimits } from './JaymillEndpointPools.js'
export * from './JaymillEngineProtocol.js'
export * from './JaymillHttpServiceClient.js'
export * from './JaymillUndiciEngineClient.js'
