import { MAX_ACCOUNT_VERSIONS } from './constants.js'
import type { ClientAccount } from './JaymillGatewayConfig.js'

/** An account, and how long its keys have been valid. */
interface AccountEntry {
  readonly account: ClientAccount
  /** Version of the configuration since which no key of the account was removed. */
  readonly keptSince: number
}

/**
 * Finds client accounts by key and by name. A key that is listed for two accounts belongs to the first one. The table of a new
 * configuration is built from the one before, so that it can tell whether a host with an older configuration would still let a request
 * of an account pass, without its key.
 */
export class AccountTable {
  readonly version: number
  private readonly _byKey = new Map<string, ClientAccount>()
  private readonly _byName: ReadonlyMap<string, AccountEntry>
  /** Versions that this host has had in force, oldest first. */
  private readonly _versions: readonly number[]

  /**
   * @param version - Version of the configuration.
   * @param accounts - Its accounts.
   * @param previous - Table of the configuration that it replaces; absent when that one had no accounts.
   */
  constructor (version: number, accounts: readonly ClientAccount[], previous?: AccountTable) {
    this.version = version
    accounts.forEach(account => account.keys.filter(key => key !== '' && !this._byKey.has(key)).forEach(key => this._byKey.set(key, account)))
    const reduced = previous === undefined ? new Set<string>() : this._reducedSince(previous)
    const keptSince = (name: string): number => reduced.has(name) ? version : previous?._byName.get(name)?.keptSince ?? version
    this._byName = new Map([...accounts].reverse().map(account => [account.name, { account, keptSince: keptSince(account.name) }]))
    this._versions = [...previous?._versions ?? [], version].slice(-MAX_ACCOUNT_VERSIONS)
  }

  /** Number of accounts. */
  get size (): number {
    return this._byName.size
  }

  /**
   * @param key - Key of a caller; `undefined` if it sent none.
   * @returns The account that the key belongs to, or `undefined` if the key is unknown.
   */
  byKey (key: string | undefined): ClientAccount | undefined {
    return key === undefined ? undefined : this._byKey.get(key)
  }

  /**
   * @param name - Name of an account.
   * @returns The account, or `undefined` if there is none of that name.
   */
  byName (name: string): ClientAccount | undefined {
    return this._byName.get(name)?.account
  }

  /**
   * Finds the account of a request whose key was checked by another version of the configuration. A version that this host has never
   * had may have added a key that the current one lacks, so such a request can't be confirmed.
   *
   * @param name - Name of the account.
   * @param version - Version by which the key was checked.
   * @returns The account; `undefined` if it was removed, or if the key may have been removed since.
   */
  confirm (name: string, version: number): ClientAccount | undefined {
    const entry = this._byName.get(name)
    return entry !== undefined && entry.keptSince <= version && this._versions.includes(version) ? entry.account : undefined
  }

  /** Returns the names of the accounts that have lost a key since another table. */
  private _reducedSince (previous: AccountTable): ReadonlySet<string> {
    const lost = [...previous._byKey].filter(([key, { name }]) => this._byKey.get(key)?.name !== name)
    return new Set(lost.map(([, { name }]) => name))
  }
}
