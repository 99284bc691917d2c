import { benchProgram, unknownFlag } from '../JaymillBenchProgram.js'
import { BASELINES, DEFAULT_POLICY } from './JaymillPolicy.js'
import { FigureLine, reportLines } from './JaymillPolicyReport.js'
import { PolicyRun } from './JaymillPolicyRun.js'
import { PolicyScenario, SCENARIOS } from './JaymillPolicyScenario.js'
import { PolicySite, SITES } from './JaymillPolicySite.js'

function measure (site: PolicySite, scenario: PolicyScenario, seed: number): readonly FigureLine[] {
  const defaultFigures = new PolicyRun(site, scenario, DEFAULT_POLICY, seed).run()
  const compared = BASELINES.filter(({ name }) => scenario.baselines?.includes(name) ?? true)
  const baselines = compared.map(policy =>
    ({ name: policy.name, figures: new PolicyRun(site, scenario, policy, seed).run() }))
  return reportLines(`${site.name}/${scenario.name}`, scenario, defaultFigures, baselines)
}

function print (line: FigureLine, json: boolean): void {
  const bound = line.bound === null ? '' : ` (bound ${line.bound})`
  const text = `${line.ok ? '  ' : '! '}${line.name}: ${line.value} ${line.unit}${bound}, baseline ${line.baseline ?? '-'}`
  console.log(json ? JSON.stringify(line) : text)
}

benchProgram('bench:policy', 'Measures the routing policy against its baselines over all sites and scenarios.')
  .action(({ seed, json }: { seed: number, json: boolean }) => {
    const lines = SITES.flatMap(site => SCENARIOS.flatMap(scenario => measure(site, scenario, seed)))
    lines.forEach(line => print(line, json))
    process.exitCode = lines.every(line => line.ok) ? 0 : 1
  })
  .parse(process.argv, { unknown: unknownFlag })
