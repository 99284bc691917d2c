import { AdminClient } from './JaymillAdminClient.js'
import { CliError } from './JaymillCliError.js'
import { ExitCode } from './JaymillExitCode.js'
import type { Terminal } from './JaymillTerminal.js'

/** Parsed command-line flags by name. */
export type Flags = Readonly<Record<string, unknown>>

/** Environment variable that contains the admin URLs. */
export const ADMIN_ENV = 'JAYMILL_ADMIN'
/** Environment variable that contains the admin token. */
export const TOKEN_ENV = 'JAYMILL_ADMIN_TOKEN'

/**
 * Reads the text value of a flag.
 *
 * @param flags - Flags of the command.
 * @param name - Name of the flag.
 * @returns Its text; `undefined` when the flag is absent.
 * @throws CliError with exit code `Usage` when the flag has no value or several.
 */
export function textFlag (flags: Flags, name: string): string | undefined {
  const value = flags[name]
  if (value === undefined) return undefined
  if (typeof value === 'string' || typeof value === 'number') return String(value)
  throw new CliError(ExitCode.Usage, `--${name} requires exactly one value`)
}

/**
 * Reads the value of a flag as a positive integer.
 *
 * @param flags - Flags of the command.
 * @param name - Name of the flag.
 * @returns Its value; `undefined` when the flag is absent.
 * @throws CliError with exit code `Usage` when the value is not a positive integer.
 */
export function positiveIntegerFlag (flags: Flags, name: string): number | undefined {
  const text = textFlag(flags, name)
  if (text === undefined || /^[1-9]\d*$/.test(text)) return text === undefined ? undefined : Number(text)
  throw new CliError(ExitCode.Usage, `--${name} must be a positive integer`)
}

/**
 * Creates a client for each host in `--admin` or the environment.
 *
 * @param flags - Flags of the command.
 * @param terminal - Access to environment variables and files.
 * @returns At least one client.
 * @throws CliError with exit code `Usage` when a URL or the token is missing or invalid.
 */
export function adminClients (flags: Flags, terminal: Terminal): AdminClient[] {
  const urls = (textFlag(flags, 'admin') ?? terminal.env(ADMIN_ENV) ?? '').split(',').filter(url => url !== '')
  if (urls.length === 0) throw new CliError(ExitCode.Usage, `no admin URL given; set --admin or ${ADMIN_ENV}`)
  const invalidUrl = urls.find(url => !URL.canParse(url))
  if (invalidUrl !== undefined) throw new CliError(ExitCode.Usage, `${invalidUrl} is not a valid URL`)
  const caFile = textFlag(flags, 'ca')
  const ca = caFile === undefined ? {} : { ca: terminal.read(caFile) }
  const token = readToken(flags, terminal)
  const timeoutMs = positiveIntegerFlag(flags, 'timeout') ?? DEFAULT_TIMEOUT_MS
  return urls.map(url => new AdminClient({ url, token, timeoutMs, ...ca }))
}

/** Default timeout of one request, in milliseconds. */
export const DEFAULT_TIMEOUT_MS = 5_000

function readToken (flags: Flags, terminal: Terminal): string {
  const file = textFlag(flags, 'token-file')
  const token = textFlag(flags, 'token') ?? (file === undefined ? terminal.env(TOKEN_ENV) : terminal.read(file).trim())
  if (token === undefined || token === '') {
    throw new CliError(ExitCode.Usage, `no admin token given; set ${TOKEN_ENV}, --token-file or --token`)
  }
  return token
}
