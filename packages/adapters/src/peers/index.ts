export type { ByteCounts } from './JaymillByteCounter.js'
export { createPeerClient, type ForwardRequest, type PeerClient, type PeerClientOptions } from './JaymillPeerClient.js'
export {
  createPeerServer, type ForwardHandler, type ListenAddress, type PeerServer, type PeerServerOptions
} from './JaymillPeerServer.js'
export type { PeerTls } from './JaymillPeerTls.js'
export type { PeerHandlers } from './routers/JaymillPeerRouter.js'
