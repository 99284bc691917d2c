#!/usr/bin/env node
import { cpus, totalmem } from 'node:os'
import sade from 'sade'
import { unknownFlag } from '../JaymillBenchProgram.js'
import { measureDecisions } from './JaymillDecisionSpeed.js'
import { measureFleetRequests } from './JaymillFleetSpeed.js'
import { measureIdle } from './JaymillIdleSpeed.js'
import { measureHeartbeats } from './JaymillHeartbeatSpeed.js'
import { measureRequests } from './JaymillRequestSpeed.js'

const DEFAULT_COUNTS = '3,7,21'
const GIB = 1_073_741_824

async function main (opts: { hosts: string | number }): Promise<void> {
  const controller = new AbortController()
  console.log(JSON.stringify({ node: process.version, cores: cpus().length, memoryGiB: Math.round(totalmem() / GIB) }))
  measureDecisions()
  await measureHeartbeats(controller.signal)
  await measureRequests(controller.signal)
  await measureFleetRequests(controller.signal)
  for (const count of String(opts.hosts).split(',').map(Number)) await measureIdle(count, controller.signal)
  controller.abort()
  process.exit(0)
}

sade('bench', true)
  .describe('Measures latency, CPU time and traffic on loopback; prints one JSON line per figure.')
  .option('--hosts', 'Numbers of hosts whose idle cost is measured', DEFAULT_COUNTS)
  .action((opts: { hosts: string | number }) => {
    main(opts).catch(err => {
      console.error(err)
      process.exit(1)
    })
  })
  .parse(process.argv, { unknown: unknownFlag })
