// Decides whether the failures of a test run are all listed in KNOWN-RED.txt, and prints them.
// usage: node .ci/known-red.mjs REPORT OUTPUT    (REPORT: vitest's JSON report, OUTPUT: what the run printed)
// An entry excuses a failed test when its file matches `test:` and each of its errors contains the text of `seen:`.
import { matchesGlob, relative } from 'node:path'
import { existsSync, readFileSync } from 'node:fs'

const [reportFile, outputFile] = process.argv.slice(2)
const ENTRIES = readFileSync('KNOWN-RED.txt', 'utf8')
  .split(/\n\s*\n/)
  .map(block => Object.fromEntries([...block.matchAll(/^(\w+): (.+)$/gm)].map(([, key, value]) => [key, value])))
  .filter(({ test, seen }) => test !== undefined && seen !== undefined)

/** Ends CI with a reason. */
function fail (reason) {
  console.log(`tests failed: ${reason}`)
  process.exit(1)
}

if (!existsSync(reportFile)) fail('the run left no report')
const report = JSON.parse(readFileSync(reportFile, 'utf8'))
if (/Unhandled (Errors|Rejection|Error)/.test(readFileSync(outputFile, 'utf8'))) fail('an error was not handled by any test')

const failed = report.testResults.flatMap(suite => {
  const file = relative(process.cwd(), suite.name)
  const tests = suite.assertionResults.filter(({ status }) => status === 'failed')
  if (suite.status === 'failed' && tests.length === 0) return [{ file, title: '(whole file)', errors: [suite.message] }]
  return tests.map(({ fullName, failureMessages }) => ({ file, title: fullName, errors: failureMessages }))
})
if (failed.length === 0) fail('the run failed without a failed test')

const isKnown = ({ file, errors }) => ENTRIES.some(({ test, seen }) =>
  matchesGlob(file, test) && errors.length > 0 && errors.every(error => error.includes(seen)))
failed.forEach(entry => console.log(`${isKnown(entry) ? 'known red' : 'RED'}: ${entry.file} > ${entry.title}: ${entry.errors[0]?.split('\n')[0]}`))
if (!failed.every(isKnown)) fail('not listed in KNOWN-RED.txt')
