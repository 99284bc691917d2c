import {
  ByteCounts, createPeerClient, createPeerServer, ForwardHandler, PeerClient, PeerHandlers, PeerServer, PeerTls
} from '@jaymill/adapters'
import { ErrorKind, HostEntry, HostList, invariant, RequestError } from '@jaymill/core'
import type { HostSettings } from '@jaymill/settings'
import { readTlsFiles } from '../ports/JaymillTlsFiles.js'

interface Connection {
  readonly url: string
  readonly client: PeerClient
  readonly abortController: AbortController
}

/** Listener for other hosts, and a client for each host in the published list. */
export class PeerNetwork {
  private readonly _settings: HostSettings
  private readonly _token: string
  private readonly _tls: PeerTls | undefined
  private readonly _hosts: () => HostList
  private readonly _signal: AbortSignal
  private readonly _connections = new Map<string, Connection>()
  private _server: PeerServer | undefined

  /**
   * @param settings - Settings of this host.
   * @param token - Token with which hosts authenticate to each other.
   * @param hosts - Active host list.
   * @param signal - Closes the listener and all clients.
   */
  constructor (settings: HostSettings, token: string, hosts: () => HostList, signal: AbortSignal) {
    this._settings = settings
    this._token = token
    this._tls = settings.tls === undefined ? undefined : readTlsFiles(settings.tls)
    this._hosts = hosts
    this._signal = signal
  }

  /**
   * Starts the listener.
   *
   * @param handlers - Handle the typed requests of other hosts.
   * @param forward - Handles requests that other hosts forward.
   * @returns Base URL of the listener.
   */
  async listen (handlers: PeerHandlers, forward: ForwardHandler): Promise<string> {
    const { address: host, port } = this._settings.listen.peer
    this._server = await createPeerServer(
      { listen: { host, port }, token: this._token, ...this._tlsOption(), handlers, forward }, this._signal
    )
    return this._server.url
  }

  /**
   * Counts the traffic between this host and the others.
   *
   * @returns Bytes received and sent over all connections with other hosts.
   */
  byteCounts (): ByteCounts {
    invariant(this._server, 'the peer listener is open')
    const counts = [this._server.byteCounts(), ...[...this._connections.values()].map(({ client }) => client.byteCounts())]
    return counts.reduce((sum, { bytesIn, bytesOut }) => ({ bytesIn: sum.bytesIn + bytesIn, bytesOut: sum.bytesOut + bytesOut }))
  }

  /**
   * Lists the other hosts.
   *
   * @returns Hosts of the active list without this host.
   */
  others (): HostEntry[] {
    return this._hosts().hosts.filter(({ id }) => id !== this._settings.host.id)
  }

  /**
   * Returns the client of a host; its connections are kept until its address changes.
   *
   * @param hostId - Id of a host in the list.
   * @returns The client.
   * @throws RequestError of kind `PeerFailed` when the host is not in the list.
   */
  client (hostId: string): PeerClient {
    const entry = this._hosts().hosts.find(({ id }) => id === hostId)
    if (entry === undefined) throw new RequestError(ErrorKind.PeerFailed, `host ${hostId} is not in the host list`)
    return this.clientAt(hostId, entry.peerUrl)
  }

  /**
   * Returns the client of a host at an address, such as one of an earlier list.
   *
   * @param hostId - Id of the host.
   * @param url - Base URL of its peer listener.
   * @returns The client.
   */
  clientAt (hostId: string, url: string): PeerClient {
    const existing = this._connections.get(hostId)
    if (existing?.url === url) return existing.client
    existing?.abortController.abort()
    const abortController = new AbortController()
    const client = createPeerClient(
      { url, token: this._token, ...this._tlsOption() }, AbortSignal.any([abortController.signal, this._signal])
    )
    this._connections.set(hostId, { url, client, abortController })
    return client
  }

  private _tlsOption (): { tls?: PeerTls } {
    return this._tls === undefined ? {} : { tls: this._tls }
  }
}
