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

/** Positional arguments that each command needs. */
const ARGUMENTS: Readonly<Record<string, readonly string[]>> = {
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

const EXIT_CODES = 'Exit codes: 0 in order; 1 problems, risks or an alarm found; 2 usage; 3 a host does not answer; ' +
  '4 token refused; 5 not found; 6 refused.'

type Handler = (...args: unknown[]) => ExitCode | Promise<ExitCode>

/**
 * Runs one command.
 *
 * @param args - Arguments without interpreter and script.
 * @param terminal - Input and output.
 * @returns Exit code.
 */
export async function runProgram (args: readonly string[], terminal: Terminal): Promise<ExitCode> {
  try {
    if (args[0] === 'demo' && !args.includes('--help') && !args.includes('-h')) {
      await runDemo(args.slice(1))
      return ExitCode.Ok
    }
    checkArguments(args)
    const unknown = (flag: string) => { throw new CliError(ExitCode.Usage, `unknown flag ${flag}; see jaymill --help`) }
    const command = program(terminal).parse(['node', 'jaymill', ...args], { lazy: true, unknown, boolean: BOOLEAN_FLAGS })
    return command === undefined ? ExitCode.Ok : await (command.handler as Handler)(...command.args)
  } catch (err) {
    terminal.note(`jaymill: ${messageOf(err)}`)
    return err instanceof CliError ? err.exitCode : ExitCode.Refused
  }
}

function checkArguments (args: readonly string[]): void {
  if (args.some(arg => ['-h', '--help', '-v', '--version'].includes(arg))) return
  const [name = ''] = args
  const needed = ARGUMENTS[name]
  if (needed === undefined) throw new CliError(ExitCode.Usage, `unknown command "${name}"; see jaymill --help`)
  if (args.slice(1).filter(isPositional).length !== needed.length) throw new CliError(ExitCode.Usage, `${name} takes ${needed.length === 0 ? 'no argument' : needed.join(' and ')}`)
}

function isPositional (arg: string, i: number, args: readonly string[]): boolean {
  const before = args[i - 1] ?? ''
  const isValue = before.startsWith('-') && !before.includes('=') && !BOOLEAN_FLAGS.includes(before.replace(/^-+/, ''))
  return !arg.startsWith('-') && !isValue
}

function messageOf (err: unknown): string {
  return err instanceof Error ? err.message : String(err)
}

function program (terminal: Terminal): Sade {
  const prog = sade('jaymill').version('0.1.0').describe(`Operates the router. ${EXIT_CODES}`).option('--json', 'Print JSON')
  prog.command('check <file>').describe('Check a document and show every problem with its line.')
    .option('--kind', 'host-settings, fleet or host-list; guessed when absent').example('check fleet.jsonc')
    .action((file: string, flags: Flags) => runCheck(file, flags, terminal))
  prog.command('diff <old> <next>').describe('Show what a fleet configuration would change, and its risks.').example('diff fleet.jsonc next.jsonc')
    .action((old: string, next: string, flags: Flags) => runDiff(old, next, flags, terminal))
  admin(prog.command('status').describe('Show whether hosts are ready and what is in force.'))
    .action((flags: Flags) => runStatus(flags, terminal))
  admin(prog.command('endpoints').describe('Show endpoints and what hosts run on each.'))
    .action((flags: Flags) => runEndpoints(flags, terminal))
  admin(prog.command('requests').describe('List requests, the newest first.'))
    .option('--state', 'running or ended').option('--route', 'Only this route').option('--account', 'Only this account')
    .option('--limit', 'Most requests of a host').action((flags: Flags) => runRequests(flags, terminal))
  admin(prog.command('explain <request_id>').describe('Show each decision about a request, with its reason.'))
    .option('--log', 'Read log files instead, separated by commas')
    .action((id: string, flags: Flags) => {
      const files = textFlag(flags, 'log')
      return files === undefined ? runExplain(id, flags, terminal) : runExplainLog(id, files, flags, terminal)
    })
  admin(prog.command('drain').describe('Stop one host gracefully.')).option('--wait', 'Wait until it is gone')
    .action((flags: Flags) => runDrain(flags, terminal))
  admin(prog.command('burn').describe('Show the burn of the service level per route and account.'))
    .option('--limit', 'Most accounts').option('--svg', 'Write a plot to this file').option('--html', 'Write a page to this file')
    .action((flags: Flags) => runBurn(flags, terminal))
  admin(prog.command('quarantine').describe('List requests that are suspected of stopping endpoints.'))
    .option('--clear', 'Clear this request').action((flags: Flags) => runQuarantine(flags, terminal))
  prog.command('demo').describe('Run the demo of a checkout; --keep stays up.').action(() => ExitCode.Ok)
  return prog
}

function admin (command: Sade): Sade {
  return command
    .option('--admin', 'Admin URLs, separated by commas (JAYMILL_ADMIN)')
    .option('--token', 'Admin token (JAYMILL_ADMIN_TOKEN)')
    .option('--token-file', 'File that holds the admin token')
    .option('--ca', 'Authorities of the admin certificate, PEM')
    .option('--timeout', 'Time for one call, in milliseconds (5000)')
}
