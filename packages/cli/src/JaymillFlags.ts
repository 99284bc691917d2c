import { AdminClient } from './JaymillAdminClient.js'
import { CliError } from './JaymillCliError.js'
import { ExitCode } from './JaymillExitCode.js'
import type { Terminal } from './JaymillTerminal.js'

/** Flags as the command line gives them. */
export type Flags = Readonly<Record<string, unknown>>

/** Environment variable with the admin URLs. */
export const ADMIN_ENV = 'JAYMILL_ADMIN'
/** Environment variable with the admin token. */
export const TOKEN_ENV = 'JAYMILL_ADMIN_TOKEN'

/**
 * @param flags - Flags of the command.
 * @param name - Name of a flag.
 * @returns Its text; `undefined` when it was not given.
 * @throws CliError with exit code `Usage` when it has no value.
 */
export function textFlag (flags: Flags, name: string): string | undefined {
  const value = flags[name]
  if (value === undefined) return undefined
  if (typeof value === 'string' || typeof value === 'number') return String(value)
  throw new CliError(ExitCode.Usage, `--${name} needs one value`)
}

/**
 * @param flags - Flags of the command.
 * @param name - Name of a flag.
 * @returns Its whole number; `undefined` when it was not given.
 * @throws CliError with exit code `Usage`.
 */
export function countFlag (flags: Flags, name: string): number | undefined {
  const text = textFlag(flags, name)
  if (text === undefined || /^[1-9]\d*$/.test(text)) return text === undefined ? undefined : Number(text)
  throw new CliError(ExitCode.Usage, `--${name} must be a whole number above 0`)
}

/**
 * Creates a client for each host that the operator names.
 *
 * @param flags - Flags of the command.
 * @param terminal - Environment and files.
 * @returns At least one client.
 * @throws CliError with exit code `Usage`.
 */
export function adminClients (flags: Flags, terminal: Terminal): AdminClient[] {
  const urls = (textFlag(flags, 'admin') ?? terminal.env(ADMIN_ENV) ?? '').split(',').filter(url => url !== '')
  if (urls.length === 0) throw new CliError(ExitCode.Usage, `name the host with --admin URL or ${ADMIN_ENV}`)
  const wrong = urls.find(url => !URL.canParse(url))
  if (wrong !== undefined) throw new CliError(ExitCode.Usage, `${wrong} is no URL`)
  const caFile = textFlag(flags, 'ca')
  const ca = caFile === undefined ? {} : { ca: terminal.read(caFile) }
  const token = tokenOf(flags, terminal)
  const timeoutMs = countFlag(flags, 'timeout') ?? DEFAULT_TIMEOUT_MS
  return urls.map(url => new AdminClient({ url, token, timeoutMs, ...ca }))
}

/** Time for one call, in milliseconds. */
export const DEFAULT_TIMEOUT_MS = 5_000

function tokenOf (flags: Flags, terminal: Terminal): string {
  const file = textFlag(flags, 'token-file')
  const token = textFlag(flags, 'token') ?? (file === undefined ? terminal.env(TOKEN_ENV) : terminal.read(file).trim())
  if (token === undefined || token === '') {
    throw new CliError(ExitCode.Usage, `give the admin token with ${TOKEN_ENV}, --token-file or --token`)
  }
  return token
}
