import fc from 'fast-check'
import { benchProgram, unknownFlag } from '../JaymillBenchProgram.js'
import { DEFAULT_RUNS } from './constants.js'
import { OwnershipWalk, Violation } from './JaymillOwnershipWalk.js'
import { availabilityReport } from './JaymillAvailability.js'
import { groupReport } from './JaymillGroupCost.js'
import { costReport } from './JaymillOwnerCost.js'
import { ModelLine, modelLine } from './JaymillModelLine.js'
import { walkArbitrary } from './JaymillWalkArbitrary.js'

function walkReport (seed: number, runs: number): ModelLine[] {
  const totals = new Map<string, number>()
  const add = (name: string, count: number) => totals.set(name, (totals.get(name) ?? 0) + count)
  const result = fc.check(fc.property(walkArbitrary(), walk => {
    const simulation = new OwnershipWalk(walk.seed)
    walk.actions.forEach(action => simulation.step(action))
    add('executions', simulation.executions)
    simulation.decisions.forEach((count, kind) => add(`decisions.${kind}`, count))
    simulation.violations.forEach(violation => add(violation, 1))
    return simulation.violations.length === 0
  }), { seed, numRuns: runs, endOnFailure: true })
  if (result.failed) process.stderr.write(`${JSON.stringify({ path: result.counterexamplePath, walk: result.counterexample })}\n`)
  const violationLines = Object.values(Violation).map(name => modelLine(`walk.${name}`, totals.get(name) ?? 0, 'requests', 0))
  const counts = [...totals].filter(([name]) => !Object.values<string>(Violation).includes(name)).sort()
  return [
    modelLine('walk.runs', result.numRuns, 'runs'),
    ...violationLines,
    ...counts.map(([name, value]) => modelLine(`walk.${name}`, value, 'count'))
  ]
}

benchProgram('bench:model', 'Checks the ownership of keys over random walks, and prints what the design costs.')
  .option('--runs', 'Number of random walks', DEFAULT_RUNS)
  .action(({ seed, runs, json }: { seed: number, runs: number, json: boolean }) => {
    const lines = [...walkReport(seed, runs), ...availabilityReport(seed), ...costReport(), ...groupReport()]
    lines.forEach(line => process.stdout.write(json ? `${JSON.stringify(line)}\n` : `${line.name}: ${line.value} ${line.unit}\n`))
    process.exitCode = lines.every(line => line.ok) ? 0 : 1
  })
  .parse(process.argv, { unknown: unknownFlag })
