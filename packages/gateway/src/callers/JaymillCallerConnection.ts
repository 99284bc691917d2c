import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { ConnectionInput } from './JaymillConnectionInput.js'
import type { ConnectionMemory } from './JaymillConnectionMemory.js'
import { headerSizeOf } from './JaymillHeaderSize.js'
import type { RequestMemory } from './JaymillRequestMemory.js'

/** Told whether a connection has requests in progress. */
export interface ConnectionUse {
  readonly busy: () => void
  /** The only request has not arrived as a whole. */
  readonly waits: () => void
  readonly idle: () => void
}

/**
 * One connection of a caller, with its responses in progress in the order of their requests: a caller may send further requests
 * before it has the response to the first (RFC 9112, section 9.3.2). Node.js tells only that response of the end of the connection.
 */
export class CallerConnection {
  private readonly _responses = new Map<ServerResponse, Array<() => void>>()
  /** What the connection holds in the memory of the host. */
  readonly memory: ConnectionMemory
  private readonly _use: ConnectionUse
  private readonly _input: ConnectionInput
  private _ended = false

  /**
   * @param socket - Socket of the connection.
   * @param memory - What it holds in the memory of the host.
   * @param use - Told when requests begin, and when none is left.
   * @param maxOpenRequests - Returns the number of requests that are handled at a time.
   */
  constructor (socket: Socket, memory: ConnectionMemory, use: ConnectionUse, maxOpenRequests: () => number) {
    this.memory = memory
    this._use = use
    this._input = new ConnectionInput(socket, {
      maxOpenRequests,
      isEnding: () => this.ending,
      mustWait: go => memory.mustWait(go),
      bodySize: () => memory.arrival?.size() ?? 0,
      onChange: (header, waitingBytes) => memory.countInput(header, waitingBytes)
    })
    socket.once('close', () => [...this._responses.keys()].forEach(res => this._remove(res)))
  }

  /** Whether the connection takes no further request: one can't be read, or a response has announced the end (RFC 9112, section 9.6). */
  get ending (): boolean {
    return this._ended || [...this._responses.keys()].some(res => res.headersSent && endsConnection(res))
  }

  /**
   * Adds the response to the latest request.
   *
   * @param res - The response.
   * @returns Memory of the request, until the response ends.
   */
  add (res: ServerResponse): RequestMemory {
    const memory = this.memory.addRequest(headerSizeOf(res.req))
    this._responses.set(res, [() => memory.release()])
    this._use.busy()
    this._input.requestBegan(res.req, res)
    res.once('close', () => this._remove(res))
    return memory
  }

  /** Notes that the body of the latest request has not arrived as a whole. */
  bodyArrives (): void {
    if (this._responses.size === 1) this._use.waits()
  }

  /** Notes that it has arrived. */
  bodyArrived (): void {
    this._use.busy()
  }

  /**
   * Adds a listener for the end of a response.
   *
   * @param res - A response in progress.
   * @param listener - Called when it is complete or its connection has closed.
   */
  onEnd (res: ServerResponse, listener: () => void): void {
    this._responses.get(res)?.push(listener)
  }

  /**
   * Ends the connection after the response to the latest request, and not after earlier ones.
   *
   * @param latest - That response.
   */
  endAfter (latest: ServerResponse): void {
    const waiting = [...this._responses.keys()].filter(res => !res.headersSent)
    waiting.forEach(res => res.setHeader('Connection', 'keep-alive'))
    latest.setHeader('Connection', 'close')
  }

  /**
   * Ends the connection because what follows on it can't be read. The responses to the requests that were read are sent before.
   *
   * @param refuse - Refuses what can't be read and closes the connection; told whether a response in progress prevents a refusal.
   */
  endUnreadable (refuse: (responding: boolean) => void): void {
    if (this._ended && this._responses.size > 0) return
    this._ended = true
    this._input.stop()
    const read = [...this._responses.keys()].filter(({ req }) => req.complete)
    const remaining = new Set(read)
    const check = (): void => { if (remaining.size === 0) refuse([...this._responses.keys()].some(res => res.headersSent)) }
    read.forEach(res => this.onEnd(res, () => {
      remaining.delete(res)
      check()
    }))
    check()
  }

  private _remove (res: ServerResponse): void {
    const listeners = this._responses.get(res) ?? []
    this._responses.delete(res)
    this._ended ||= endsConnection(res)
    listeners.forEach(listener => listener())
    if (this._responses.size === 0) this._use.idle()
  }
}

function endsConnection (res: ServerResponse): boolean {
  return res.getHeader('Connection') === 'close'
}
