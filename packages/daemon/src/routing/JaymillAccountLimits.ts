import type { AccountConfig, AccountLimit } from '@jaymill/core'

/** Unit that a limit counts. */
export enum LimitUnit {
  Requests = 'requests',
  Tokens = 'tokens'
}

/**
 * Returns the key of one limit of an account; the limit is owned and leased by this key.
 *
 * @param accountId - Id of the account.
 * @param unit - Unit that the limit counts.
 * @returns Key of the limit.
 */
export function limitKey (accountId: string, unit: LimitUnit): string {
  return `${accountId}/${unit}`
}

/**
 * Lists the limits of an account.
 *
 * @param account - Account with its rates.
 * @returns Its limits.
 */
export function accountLimits (account: AccountConfig): readonly AccountLimit[] {
  return [
    { accountId: limitKey(account.id, LimitUnit.Requests), tokensPerSecond: account.requestsPerSecond },
    { accountId: limitKey(account.id, LimitUnit.Tokens), tokensPerSecond: account.tokensPerSecond }
  ]
}
