import { connect } from 'node:net'
import { CONNECT_TIMEOUT_MS } from './constants.js'

/**
 * Checks whether an endpoint accepts connections.
 *
 * @param address - IP address and port of the endpoint.
 * @returns Whether a connection could be made within the connect timeout.
 */
export async function isReachable (address: string): Promise<boolean> {
  const [host, port] = address.split(':')
  return await new Promise<boolean>(resolve => {
    const socket = connect({ host, port: Number(port), timeout: CONNECT_TIMEOUT_MS })
    const settle = (reachable: boolean): void => { resolve(reachable); socket.destroy() }
    socket.once('connect', () => settle(true))
    socket.once('timeout', () => settle(false))
    socket.once('error', () => settle(false))
  })
}
