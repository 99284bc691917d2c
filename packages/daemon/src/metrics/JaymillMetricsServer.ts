import { once } from 'node:events'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { ListenSettings } from '@jaymill/settings'
import type { HostMetrics } from './JaymillHostMetrics.js'

/** Listener that serves metrics as text; they contain no secrets, so it requires no credentials. */
export class MetricsServer {
  private readonly _metrics: HostMetrics
  private readonly _server: Server

  /**
   * @param metrics - Metrics to serve.
   * @param signal - Closes the listener.
   */
  constructor (metrics: HostMetrics, signal: AbortSignal) {
    this._metrics = metrics
    this._server = createServer((req, res) => { this._serve(req, res).catch(() => res.destroy()) })
    signal.addEventListener('abort', () => {
      this._server.close()
      this._server.closeAllConnections()
    }, { once: true })
  }

  /**
   * Starts listening.
   *
   * @param listen - Address and port.
   * @returns Base URL.
   */
  async listen ({ address, port }: ListenSettings): Promise<string> {
    this._server.listen(port, address)
    await once(this._server, 'listening')
    return `http://${address}:${(this._server.address() as AddressInfo).port}`
  }

  private async _serve (req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (req.method !== 'GET' || req.url !== '/metrics') {
      res.writeHead(404).end()
      return
    }
    const text = await this._metrics.text()
    res.writeHead(200, { 'Content-Type': this._metrics.contentType }).end(text)
  }
}
