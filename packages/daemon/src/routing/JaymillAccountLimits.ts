import type { AccountConfig, AccountLimit } from '@jaymill/core'

/** What a limit counts. */
export enum LimitUnit {
  Requests = 'requests',
  Tokens = 'tokens'
}

/**
 * Names one limit of an account, so that it can be owned and leased.
 *
 * @param accountId - Account.
 * @param unit - What is counted.
 * @returns Key of the limit.
 */
export function limitKey (accountId: string, unit: LimitUnit): string {
  return `${accountId}/${unit}`
}

/**
 * @param account - Account with its rates.
 * @returns Its limits.
 */
export function accountLimits (account: AccountConfig): readonly AccountLimit[] {
  return [
    { accountId: limitKey(account.id, LimitUnit.Requests), tokensPerSecond: account.requestsPerSecond },
    { accountId: limitKey(account.id, LimitUnit.Tokens), tokensPerSecond: account.tokensPerSecond }
  ]
}
