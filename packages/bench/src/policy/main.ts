import { parseArgs } from 'node:util'
import { BASELINES, DEFAULT_POLICY } from './JaymillPolicy.js'
import { FigureLine, reportLines } from './JaymillPolicyReport.js'
import { PolicyRun } from './JaymillPolicyRun.js'
import { PolicyScenario, SCENARIOS } from './JaymillPolicyScenario.js'
import { PolicySite, SITES } from './JaymillPolicySite.js'

const { values } = parseArgs({
  options: { seed: { type: 'string', default: '1' }, json: { type: 'boolean', default: false } }
})
const seed = Number(values.seed)

function measure (site: PolicySite, scenario: PolicyScenario): readonly FigureLine[] {
  const defaultFigures = new PolicyRun(site, scenario, DEFAULT_POLICY, seed).run()
  const compared = BASELINES.filter(({ name }) => scenario.baselines?.includes(name) ?? true)
  const baselines = compared.map(policy =>
    ({ name: policy.name, figures: new PolicyRun(site, scenario, policy, seed).run() }))
  return reportLines(`${site.name}/${scenario.name}`, scenario, defaultFigures, baselines)
}

function print (line: FigureLine): void {
  const bound = line.bound === null ? '' : ` (bound ${line.bound})`
  const text = `${line.ok ? '  ' : '! '}${line.name}: ${line.value} ${line.unit}${bound}, baseline ${line.baseline ?? '-'}`
  console.log(values.json ? JSON.stringify(line) : text)
}

const lines = SITES.flatMap(site => SCENARIOS.flatMap(scenario => measure(site, scenario)))
lines.forEach(print)
process.exitCode = lines.every(line => line.ok) ? 0 : 1
