#!/usr/bin/env node
import { burnTable } from '@jaymill/cli'
import { BurnReport, mergeBurnReports } from '@jaymill/core'
import sade from 'sade'
import { DEMO_MODEL } from './JaymillDemoDocuments.js'
import { DEMO_ADMIN_TOKEN, DemoFleet } from './JaymillDemoFleet.js'
import { DemoScenario } from './JaymillDemoScenario.js'
import {
  BookingScenario, CancelScenario, EndpointCrashScenario, GracefulStopScenario, ReportsScenario
} from './JaymillDemoScenarios.js'

const SCENARIOS: readonly DemoScenario[] = [
  new ReportsScenario(), new BookingScenario(), new CancelScenario(), new EndpointCrashScenario(), new GracefulStopScenario()
]

const BURN_ACCOUNTS = 10

function describeFleet (fleet: DemoFleet): object {
  const pools = { prefill: fleet.prefill, decode: fleet.decode, counter: fleet.services }
  return {
    hosts: fleet.hosts.map(({ urls }) => ({ caller: urls.caller, admin: urls.admin })),
    endpoints: Object.entries(pools).flatMap(([pool, servers]) => servers.map(({ url }, i) => (
      { id: `${pool}-${i + 1}`, pool, state: `${url}/state` }
    ))),
    adminToken: DEMO_ADMIN_TOKEN,
    model: DEMO_MODEL,
    booking: { method: 'POST', path: '/bookings', body: { customer: 'guide-17' } }
  }
}

async function runScenarios (fleet: DemoFleet): Promise<boolean> {
  let ok = true
  for (const scenario of SCENARIOS) {
    const result = await scenario.run(fleet)
    ok &&= result.ok
    console.log(`${result.ok ? 'held  ' : 'BROKEN'} ${scenario.name}`)
    result.lines.forEach(line => console.log(`         ${line}`))
  }
  return ok
}

async function printBurnReport (fleet: DemoFleet): Promise<void> {
  const headers = { Authorization: `Bearer ${DEMO_ADMIN_TOKEN}` }
  const reports = await Promise.all(fleet.hosts.map(async ({ urls }) => (
    await fetch(`${urls.admin}/burn`, { headers }).then(async res => [await res.json() as BurnReport], () => [])
  )))
  console.log(`\nError budget burn rates on the ${reports.flat().length} hosts that are still running:`)
  console.log(burnTable(mergeBurnReports(reports.flat(), BURN_ACCOUNTS)))
}

async function main (opts: { keep?: boolean, 'log-level': string }): Promise<void> {
  const controller = new AbortController()
  const fleet = new DemoFleet({ logLevel: opts['log-level'] })
  await fleet.start(controller.signal)
  process.on('SIGTERM', () => {
    controller.abort()
    process.exit(0)
  })
  if (opts.keep === true) {
    console.log(JSON.stringify(describeFleet(fleet)))
    return
  }
  const ok = await runScenarios(fleet)
  await printBurnReport(fleet)
  controller.abort()
  process.exit(ok ? 0 : 1)
}

sade('demo', true)
  .describe('Runs three hosts and their endpoints in this process and checks what every caller receives.')
  .option('--keep', 'Print addresses as one line of JSON and keep running')
  .option('--log-level', 'Least severe level that hosts log', 'error')
  .action((opts: { keep?: boolean, 'log-level': string }) => {
    main(opts).catch(err => {
      console.error(err)
      process.exit(1)
    })
  })
  .parse(process.argv)
