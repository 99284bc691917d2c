import { existsSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { CliError } from '../JaymillCliError.js'
import { ExitCode } from '../JaymillExitCode.js'

const DEMO = new URL('../../../bench/dist/demo/main.js', import.meta.url)

/**
 * Runs the demo of a source checkout in this process. The demo parses its own flags and sets the exit code.
 *
 * @param args - Arguments of the demo.
 * @throws CliError with exit code `Usage` outside of a checkout.
 */
export async function runDemo (args: readonly string[]): Promise<void> {
  if (!existsSync(fileURLToPath(DEMO))) {
    throw new CliError(ExitCode.Usage, 'the demo requires a source checkout: npm ci && npm run demo')
  }
  process.argv.splice(1, process.argv.length, fileURLToPath(DEMO), ...args)
  await import(DEMO.href)
}
