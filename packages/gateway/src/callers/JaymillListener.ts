import { once } from 'node:events'
import type { Server } from 'node:http'
import type { SocketAddress } from '@jaymill/settings'

/**
 * Starts a listener.
 *
 * @param server - HTTP server.
 * @param listen - Address.
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
