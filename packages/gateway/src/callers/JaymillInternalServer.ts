import { createServer, type RequestListener, type Server } from 'node:http'
import type { Socket } from 'node:net'
import { ConnectionInput } from './JaymillConnectionInput.js'

/**
 * Creates an HTTP server that answers at once, for readiness checks, other hosts and operators. Each connection gets one response at a time.
 * One connection more than the limit closes that whose last request is the oldest, whether or not its response was read.
 *
 * @param maxConnections - Maximum number of connections.
 * @param respond - Responds to a request.
 * @returns The server, which does not listen yet.
 */
export function createInternalServer (maxConnections: number, respond: RequestListener): Server {
  const inputs = new Map<Socket, ConnectionInput>()
  const server = createServer((req, res) => {
    const { socket } = req
    const input = inputs.get(socket)
    if (input === undefined) return
    inputs.delete(socket)
    inputs.set(socket, input)
    input.requestBegan(req, res)
    respond(req, res)
  })
  return server.on('connection', (socket: Socket) => {
    inputs.set(socket, new ConnectionInput(socket, { maxOpenRequests: () => 1, isEnding: () => false, mustWait: () => false, bodySize: () => 0, onChange: () => {} }))
    socket.once('close', () => inputs.delete(socket))
    if (inputs.size <= maxConnections) return
    const [oldest] = inputs.keys()
    if (oldest === undefined) return
    inputs.delete(oldest)
    oldest.destroy()
  })
}
