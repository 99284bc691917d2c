import type { IncomingMessage } from 'node:http'
import { ErrorKind, RequestError } from '@jaymill/core'
import { MEMORY_RETRY_AFTER_MS } from './constants.js'
import { BodyBuffer } from './JaymillBodyBuffer.js'
import type { BodyArrival, ConnectionMemory } from './JaymillConnectionMemory.js'

/** How a body is read. */
export interface BodyReaderOptions {
  /** Maximum size of the body, in bytes. */
  readonly maxBytes: number
  /** Counts the body. */
  readonly memory: ConnectionMemory
  readonly signal: AbortSignal
  /** Creates the error of a body that has not arrived before the abort. */
  readonly aborted: () => RequestError
}

/**
 * Tells whether a request has a body. Node.js marks a request without one as complete only after its handler was called.
 *
 * @param req - The request.
 * @returns Whether its header announces a body.
 */
export function announcesBody ({ headers }: IncomingMessage): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
}

/**
 * Reads the body of a request. After a failure nothing more of it is read.
 *
 * @param req - The request.
 * @param options - How its body is read.
 * @returns The body, which counts as complete and must be released; `null` for a request without one.
 * @throws RequestError of kind `TooLarge`, or `Overloaded` when the host has no memory for it, or that of `aborted`.
 */
export async function readBody (req: IncomingMessage, { maxBytes, memory, signal, aborted }: BodyReaderOptions): Promise<BodyBuffer | null> {
  const announced = req.headers['content-length']
  if (!announcesBody(req)) return null
  const tooLarge = (): RequestError => new RequestError(ErrorKind.TooLarge, `the body exceeds ${maxBytes} bytes`)
  if (Number(announced ?? 0) > maxBytes) throw tooLarge()
  if (signal.aborted) throw aborted()
  const body = new BodyBuffer(announced === undefined ? maxBytes : Number(announced))
  const settled = new AbortController()
  let arrival: BodyArrival | undefined
  try {
    await new Promise<void>((resolve, reject) => {
      signal.addEventListener('abort', () => reject(aborted()), { once: true, signal: settled.signal })
      arrival = { size: () => body.size, pause: () => req.pause(), resume: () => req.resume(), refuse: reject }
      memory.arrival = arrival
      const onData = (part: Buffer): void => {
        if (settled.signal.aborted) return
        if (body.size + part.length > maxBytes) reject(tooLarge())
        else append(body, part, memory, reject)
      }
      req.on('data', onData).once('end', resolve).once('error', () => reject(signal.aborted ? aborted() : callerGone()))
      settled.signal.addEventListener('abort', () => { req.off('data', onData).off('end', resolve) })
    })
    memory.completeBody(body.capacity)
    return body
  } catch (err) {
    req.pause()
    memory.dropBody(body.capacity)
    body.release()
    throw err
  } finally {
    // The next request on the connection may already have begun.
    if (memory.arrival === arrival) memory.arrival = undefined
    settled.abort()
  }
}

/** The system may have no memory left for a body, even within the limits of the host. */
function append (body: BodyBuffer, part: Buffer, memory: ConnectionMemory, reject: (err: RequestError) => void): void {
  try {
    memory.addBody(body.append(part))
  } catch (err) {
    reject(new RequestError(ErrorKind.Overloaded, 'no memory is left for the body', { retryAfterMs: MEMORY_RETRY_AFTER_MS, cause: err }))
  }
}

function callerGone (): RequestError {
  return new RequestError(ErrorKind.CallerGone, 'the caller has disconnected')
}
