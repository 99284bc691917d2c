#!/usr/bin/env node
import { readFileSync } from 'node:fs'
import sade from 'sade'
import { parseHostSettings, SettingsError } from '@jaymill/settings'
import { Daemon } from './JaymillDaemon.js'

const EXIT_FAILED = 1
const EXIT_SETTINGS = 2

async function run (file: string): Promise<void> {
  const daemon = new Daemon(parseHostSettings(readFileSync(file, 'utf8'), file))
  const onSignal = (): void => {
    daemon.stop().then(() => process.exit(0), err => fail(err))
  }
  process.on('SIGTERM', onSignal)
  process.on('SIGINT', onSignal)
  console.log(JSON.stringify(await daemon.start()))
}

function fail (err: unknown): void {
  console.error(`jaymilld: ${err instanceof Error ? err.message : String(err)}`)
  process.exit(err instanceof SettingsError ? EXIT_SETTINGS : EXIT_FAILED)
}

sade('jaymilld <settings>', true)
  .describe('Runs one host of the router. Prints its addresses as one JSON line when it listens. ' +
    'Exit codes: 0 stopped gracefully; 1 could not start; 2 settings refused.')
  .example('host.jsonc')
  .action((file: string) => { run(file).catch(fail) })
  .parse(process.argv)
