import { subscribe } from 'node:diagnostics_channel'
import type { Socket } from 'node:net'
import { buildConnector, errors } from 'undici'
import { ConnectionSocket, isReset } from './JaymillConnectionSocket.js'

/** Idle time after which the operating system probes a connection, in milliseconds. */
const TCP_KEEP_ALIVE_MS = 60_000

const HTTP_PORT = 80
const HTTPS = 'https:'

/** Channel on which undici publishes each request before it writes it to a connection. */
const REQUEST_CHANNEL = 'undici:client:sendHeaders'

/** Code of the error of a connection that the peer has reset. */
const RESET_ERROR_CODE = 'ERR_CONNECTION_RESET'

subscribe(REQUEST_CHANNEL, message => {
  const { socket } = message as { readonly socket: unknown }
  if (socket instanceof ConnectionSocket) socket.expectResponse()
})

/**
 * Creates a connector for clients of undici that report a response as broken when its connection is reset, and as malformed when
 * its version or status is not valid. The latter holds without TLS, and for clients that do not pipeline requests.
 *
 * @param timeoutMs - Time to open a connection, in milliseconds; with TLS it is counted in steps of 500 ms.
 * @param tls - Options of connections with TLS.
 * @returns The connector.
 */
export function createConnector (timeoutMs: number, tls: buildConnector.BuildOptions = {}): buildConnector.connector {
  const connectTls = buildConnector({ ...tls, timeout: timeoutMs })
  return (options, done) => {
    const connect = options.protocol === HTTPS ? connectTls : connectTcp(timeoutMs)
    connect(options, (...result) => {
      // undici leaves the second argument out when it fails.
      if (result[1] != null) replaceResetCode(result[1])
      done(...result)
    })
  }
}

function connectTcp (timeoutMs: number): buildConnector.connector {
  return ({ hostname, port }, done) => {
    const socket = new ConnectionSocket()
    const timer = setTimeout(() => socket.destroy(new errors.ConnectTimeoutError(`no connection within ${timeoutMs} ms`)), timeoutMs)
    let opened = false
    socket.on('error', err => {
      clearTimeout(timer)
      if (!opened) done(err, null)
    })
    socket.once('connect', () => {
      clearTimeout(timer)
      opened = true
      done(null, socket)
    })
    socket.setKeepAlive(true, TCP_KEEP_ALIVE_MS).setNoDelay(true)
    socket.connect({ host: hostname, port: port === '' ? HTTP_PORT : Number(port) })
  }
}

/** undici takes the system's code of a reset for the regular end of a body without a length. */
function replaceResetCode (socket: Socket): void {
  socket.prependListener('error', (err: NodeJS.ErrnoException) => {
    if (isReset(err)) err.code = RESET_ERROR_CODE
  })
}
