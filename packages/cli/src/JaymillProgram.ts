import sade, { type Sade } from 'sade'
import { runBurn } from './commands/JaymillBurnCommand.js'
import { runDemo } from './commands/JaymillDemoCommand.js'
import { runDrain } from './commands/JaymillDrainCommand.js'
import { runExplainLog } from './commands/JaymillExplainLogCommand.js'
import { runCheck, runDiff } from './commands/JaymillFileCommands.js'
import { runQuarantine } from './commands/JaymillQuarantineCommand.js'
import { runEndpoints, runExplain, runRequests, runStatus } from './commands/JaymillHostCommands.js'
import { CliError } from './JaymillCliError.js'
import { ExitCode } from './JaymillExitCode.js'
import { textFlag, type Flags } from './JaymillFlags.js'
import type { Terminal } from './JaymillTerminal.js'

/** Flags that take no value. */
const BOOLEAN_FLAGS = ['json', 'wait']

/** Positional arguments that each command requires. */
const REQUIRED_ARGUMENTS: Readonly<Record<string, readonly string[]>> = {
  check: ['FILE'],
  diff: ['OLD', 'NEW'],
  status: [],
  endpoints: [],
  requests: [],
  explain: ['REQUEST_ID'],
  drain: [],
  burn: [],
  quarantine: [],
  demo: []
}

const EXIT_CODE_HELP = 'Exit codes: 0 success; 1 problems, risks or an alarm found, or a host is not ready; 2 usage error; ' +
  '3 host unreachable; 4 admin token rejected; 5 not found; 6 other failure.'

type Handler = (...args: unknown[]) => ExitCode | Promise<ExitCode>

/**
 * Runs one command.
 *
 * @param args - Command-line arguments without interpreter and script.
 * @param terminal - Input and output.
 * @returns Exit code of the process.
 */
export async function runProgram (args: readonly string[], terminal: Terminal): Promise<ExitCode> {
  try {
    if (args[0] === 'demo' && !args.includes('--help') && !args.includes('-h')) {
      await runDemo(args.slice(1))
      return ExitCode.Ok
    }
    checkArguments(args)
    const unknown = (flag: string) => { throw new CliError(ExitCode.Usage, `unknown flag ${flag}; see jaymill --help`) }
    const command = createProgram(terminal).parse(['node', 'jaymill', ...args], { lazy: true, unknown, boolean: BOOLEAN_FLAGS })
    return command === undefined ? ExitCode.Ok : await (command.handler as Handler)(...command.args)
  } catch (err) {
    terminal.printDiagnostic(`jaymill: ${messageOf(err)}`)
    return err instanceof CliError ? err.exitCode : ExitCode.Refused
  }
}

function checkArguments (args: readonly string[]): void {
  if (args.some(arg => ['-h', '--help', '-v', '--version'].includes(arg))) return
  const [name = ''] = args
  const requiredArguments = REQUIRED_ARGUMENTS[name]
  if (requiredArguments === undefined) throw new CliError(ExitCode.Usage, `unknown command "${name}"; see jaymill --help`)
  if (args.slice(1).filter(isPositional).length !== requiredArguments.length) throw new CliError(ExitCode.Usage, `${name} takes ${requiredArguments.length === 0 ? 'no arguments' : requiredArguments.join(' and ')}`)
}

function isPositional (arg: string, i: number, args: readonly string[]): boolean {
  const previous = args[i - 1] ?? ''
  const isFlagValue = previous.startsWith('-') && !previous.includes('=') && !BOOLEAN_FLAGS.includes(previous.replace(/^-+/, ''))
  return !arg.startsWith('-') && !isFlagValue
}

function messageOf (err: unknown): string {
  return err instanceof Error ? err.message : String(err)
}

function createProgram (terminal: Terminal): Sade {
  const prog = sade('jaymill').version('0.1.0').describe(`Operates the hosts of the router. ${EXIT_CODE_HELP}`).option('--json', 'Print JSON')
  prog.command('check <file>').describe('Check a document and print every problem with its line.')
    .option('--kind', 'host-settings, fleet or host-list; detected from the keys when absent').example('check fleet.jsonc')
    .action((file: string, flags: Flags) => runCheck(file, flags, terminal))
  prog.command('diff <old> <next>').describe('Show the changes between two fleet configurations, and their risks.')
    .example('diff fleet.jsonc next.jsonc').action((old: string, next: string, flags: Flags) => runDiff(old, next, flags, terminal))
  addAdminOptions(prog.command('status').describe('Show whether hosts are ready, and the active revisions.'))
    .action((flags: Flags) => runStatus(flags, terminal))
  addAdminOptions(prog.command('endpoints').describe('Show endpoints and the number of requests that the hosts run on each.'))
    .action((flags: Flags) => runEndpoints(flags, terminal))
  addAdminOptions(prog.command('requests').describe('List requests, newest first.'))
    .option('--state', 'running or ended').option('--route', 'Only this route').option('--account', 'Only this account')
    .option('--limit', 'Maximum number of requests per host').action((flags: Flags) => runRequests(flags, terminal))
  addAdminOptions(prog.command('explain <request_id>').describe('Show each decision about a request, with its reason.'))
    .option('--log', 'Read these log files instead of querying hosts, separated by commas')
    .action((id: string, flags: Flags) => {
      const files = textFlag(flags, 'log')
      return files === undefined ? runExplain(id, flags, terminal) : runExplainLog(id, files, flags, terminal)
    })
  addAdminOptions(prog.command('drain').describe('Stop one host gracefully.')).option('--wait', 'Wait until the host has stopped')
    .action((flags: Flags) => runDrain(flags, terminal))
  addAdminOptions(prog.command('burn').describe('Show error budget burn rates per route and account.'))
    .option('--limit', 'Maximum number of accounts').option('--svg', 'Write an SVG plot to this file')
    .option('--html', 'Write an HTML page to this file').action((flags: Flags) => runBurn(flags, terminal))
  addAdminOptions(prog.command('quarantine').describe('List requests that are suspected of crashing endpoints.'))
    .option('--clear', 'Release the request with this fingerprint from quarantine')
    .action((flags: Flags) => runQuarantine(flags, terminal))
  prog.command('demo').describe('Run the demo from a source checkout; with --keep it keeps running.').action(() => ExitCode.Ok)
  return prog
}

function addAdminOptions (command: Sade): Sade {
  return command
    .option('--admin', 'Admin URLs, separated by commas (JAYMILL_ADMIN)')
    .option('--token', 'Admin token (JAYMILL_ADMIN_TOKEN)')
    .option('--token-file', 'File that contains the admin token')
    .option('--ca', 'File with CA certificates for the admin listener, PEM')
    .option('--timeout', 'Timeout of one request, in milliseconds (5000)')
}
