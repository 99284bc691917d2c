import {
  ErrorKind, FleetConfig, HostList, PlatformKey, PlatformReader, RequestError
} from '@jaymill/core'
import { parseFleetConfig, parseHostList } from '@jaymill/settings'
import type { Logger } from 'winston'

interface Revisioned {
  readonly revision: number
}

/** One published document: the highest revision seen is in force. */
class PublishedDocument<Value extends Revisioned> {
  private _current: Value | undefined
  private readonly _key: PlatformKey
  private readonly _parse: (text: string, name: string) => Value

  constructor (key: PlatformKey, parse: (text: string, name: string) => Value) {
    this._key = key
    this._parse = parse
  }

  get known (): boolean {
    return this._current !== undefined
  }

  get (): Value {
    if (this._current === undefined) throw new RequestError(ErrorKind.NotReady, `no ${this._key} document is in force yet`)
    return this._current
  }

  async follow (reader: PlatformReader, log: Logger, signal: AbortSignal): Promise<void> {
    for await (const value of reader.watch(this._key, signal)) this._offer(value.text, log)
  }

  private _offer (text: string, log: Logger): void {
    try {
      const next = this._parse(text, this._key)
      if (next.revision <= (this._current?.revision ?? -1)) return
      this._current = next
      log.info('configuration adopted', { document: this._key, revision: next.revision })
    } catch (err) {
      log.error('configuration refused', { document: this._key, err })
    }
  }
}

/** Fleet configuration and host list in force on this host. */
export class PublishedDocuments {
  private readonly _fleet = new PublishedDocument<FleetConfig>(PlatformKey.Fleet, parseFleetConfig)
  private readonly _hosts = new PublishedDocument<HostList>(PlatformKey.Hosts, parseHostList)

  /** Whether both documents are known. */
  get ready (): boolean {
    return this._fleet.known && this._hosts.known
  }

  /**
   * Follows the platform until the signal aborts.
   *
   * @param reader - Platform.
   * @param log - Receives adoptions and refusals.
   * @param signal - Ends the watches.
   */
  async follow (reader: PlatformReader, log: Logger, signal: AbortSignal): Promise<void> {
    await Promise.all([this._fleet.follow(reader, log, signal), this._hosts.follow(reader, log, signal)])
  }

  /**
   * @returns The configuration in force.
   * @throws RequestError of kind `NotReady` before the first one.
   */
  fleet (): FleetConfig {
    return this._fleet.get()
  }

  /**
   * @returns The host list in force.
   * @throws RequestError of kind `NotReady` before the first one.
   */
  hosts (): HostList {
    return this._hosts.get()
  }
}
