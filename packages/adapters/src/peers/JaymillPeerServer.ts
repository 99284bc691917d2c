import { once } from 'node:events'
import http from 'node:http'
import https from 'node:https'
import type { AddressInfo, Socket } from 'node:net'
import { ErrorKind, RequestError, toProblem } from '@jaymill/core'
import { createHTTPHandler } from '@trpc/server/adapters/standalone'
import { ByteCounter, ByteCounts } from './JaymillByteCounter.js'
import {
  BODY_TIMEOUT_MS, FORWARD_PATH, HEADERS_TIMEOUT_MS, KEEP_ALIVE_MS, MAX_HEADER_BYTES, MAX_REQUEST_BYTES, TRPC_PATH
} from './JaymillPeerConstants.js'
import type { PeerTls } from './JaymillPeerTls.js'
import { hasPeerToken } from './JaymillPeerToken.js'
import { createPeerRouter, PeerHandlers } from './routers/JaymillPeerRouter.js'

/** Handles a streamed request that another host forwards; the path still starts with `/forward/`. */
export type ForwardHandler = (req: http.IncomingMessage, res: http.ServerResponse) => void

/** Address to listen on. */
export interface ListenAddress {
  /** IP address. */
  readonly host: string
  /** Port; 0 lets the operating system choose one. */
  readonly port: number
}

/** Options of a peer server. */
export interface PeerServerOptions {
  readonly listen: ListenAddress
  /** Token that every peer must send. */
  readonly token: string
  /** Enables mutual TLS. */
  readonly tls?: PeerTls
  readonly handlers: PeerHandlers
  readonly forward: ForwardHandler
}

/** Server for requests of other hosts. */
export interface PeerServer {
  /** Base URL with the port in use. */
  readonly url: string
  /**
   * Returns the traffic of the server.
   *
   * @returns Bytes over all connections so far.
   */
  byteCounts (): ByteCounts
}

/**
 * Starts the server for other hosts: typed calls under `/trpc/`, streamed requests under `/forward/`.
 *
 * @param options - Address, credentials and handlers.
 * @param signal - Closes the server and all its connections.
 * @returns The listening server.
 */
export async function createPeerServer (options: PeerServerOptions, signal: AbortSignal): Promise<PeerServer> {
  const server = createListener(options)
  const counter = new ByteCounter()
  server.on(options.tls === undefined ? 'connection' : 'secureConnection', (socket: Socket) => counter.track(socket))
  server.on('request', createDispatcher(options))
  server.listen(options.listen.port, options.listen.host)
  await once(server, 'listening', { signal })
  signal.addEventListener('abort', () => closeServer(server), { once: true })
  const address = server.address() as AddressInfo
  const scheme = options.tls === undefined ? 'http' : 'https'
  return { url: `${scheme}://${urlHost(address)}:${address.port}`, byteCounts: () => counter.counts() }
}

function createListener ({ tls }: PeerServerOptions): http.Server {
  const limits = {
    maxHeaderSize: MAX_HEADER_BYTES,
    headersTimeout: HEADERS_TIMEOUT_MS,
    requestTimeout: 0,
    keepAliveTimeout: KEEP_ALIVE_MS
  }
  if (tls === undefined) return http.createServer(limits)
  return https.createServer({ ...limits, ...tls, requestCert: true, rejectUnauthorized: true })
}

function createDispatcher ({ handlers, forward, token }: PeerServerOptions): http.RequestListener {
  const handleCall = createHTTPHandler({
    router: createPeerRouter(handlers),
    basePath: TRPC_PATH,
    maxBodySize: MAX_REQUEST_BYTES
  })
  return (req, res) => {
    if (!hasPeerToken(req.headers.authorization, token)) return refuse(res, ErrorKind.Unauthorized, 'peer token is wrong')
    if (req.url?.startsWith(FORWARD_PATH) === true) return forward(req, res)
    if (req.url?.startsWith(TRPC_PATH) !== true) return refuse(res, ErrorKind.NotFound, 'no such path')
    req.setTimeout(BODY_TIMEOUT_MS, () => req.complete || req.destroy())
    handleCall(req, res)
  }
}

function refuse (res: http.ServerResponse, kind: ErrorKind, message: string): void {
  const problem = toProblem(new RequestError(kind, message))
  res.writeHead(problem.status, { 'content-type': 'application/problem+json', connection: 'close' })
  res.end(JSON.stringify(problem))
}

function closeServer (server: http.Server): void {
  server.close()
  server.closeAllConnections()
}

function urlHost ({ address, family }: AddressInfo): string {
  return family === 'IPv6' ? `[${address}]` : address
}
