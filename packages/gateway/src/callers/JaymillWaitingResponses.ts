import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

/**
 * Closes the responses to pipelined requests with their connection. Node.js closes only the one that is being sent; those that wait
 * for it would never end.
 */
export class WaitingResponses {
  private readonly _bySocket = new WeakMap<Socket, Set<ServerResponse>>()

  /**
   * Adds a response until it is closed.
   *
   * @param res - Response to a request that has just arrived.
   */
  add (res: ServerResponse): void {
    const { socket } = res.req
    const responses = this._bySocket.get(socket) ?? this._follow(socket)
    responses.add(res)
    res.once('close', () => responses.delete(res))
  }

  private _follow (socket: Socket): Set<ServerResponse> {
    const responses = new Set<ServerResponse>()
    this._bySocket.set(socket, responses)
    socket.once('close', () => [...responses].filter(res => res.socket === null).forEach(close))
    return responses
  }
}

function close (res: ServerResponse): void {
  res.destroy()
  res.emit('close')
}
