import { once } from 'node:events'
import type { Server } from 'node:http'
import type { SocketAddress } from '@jaymill/settings'

/**
 * Starts an HTTP server and waits until it listens.
 *
 * @param server - Server to start.
 * @param listen - Address to listen on.
 * @param signal - Closes the listener and its connections.
 */
export async function listenOn (server: Server, { address, port }: SocketAddress, signal: AbortSignal): Promise<void> {
  signal.addEventListener('abort', () => {
    server.close()
    server.closeAllConnections()
  }, { once: true })
  server.listen(port, address)
  await once(server, 'listening')
}
