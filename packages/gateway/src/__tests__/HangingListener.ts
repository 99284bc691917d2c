import { once } from 'node:events'
import { connect, type Socket } from 'node:net'
import { Worker } from 'node:worker_threads'

/** Accepts nothing: its thread blocks as soon as it listens, so that connections beyond those that the system queues hang. */
const BLOCKED_SERVER = `
  const { parentPort } = require('node:worker_threads')
  const server = require('node:net').createServer()
  server.listen({ port: 0, host: '127.0.0.1', backlog: 1 }, () => {
    parentPort.postMessage(server.address().port)
    setImmediate(() => Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0))
  })`

/** Connections that fill the queue of a listener with a backlog of one. */
const QUEUED_CONNECTIONS = 4

/** Address at which attempts to connect hang, as those to a host behind a network partition do. */
export class HangingListener {
  private readonly _worker: Worker
  private readonly _queued: readonly Socket[]
  readonly address: string

  private constructor (worker: Worker, port: number) {
    this._worker = worker
    this.address = `127.0.0.1:${port}`
    this._queued = Array.from({ length: QUEUED_CONNECTIONS }, () => connect(port, '127.0.0.1').on('error', () => {}))
  }

  static async start (): Promise<HangingListener> {
    const worker = new Worker(BLOCKED_SERVER, { eval: true })
    const [port] = await once(worker, 'message') as [number]
    const listener = new HangingListener(worker, port)
    await new Promise(resolve => setTimeout(resolve, 50))
    return listener
  }

  async close (): Promise<void> {
    this._queued.forEach(socket => socket.destroy())
    await this._worker.terminate()
  }
}
