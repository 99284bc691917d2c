import fc from 'fast-check'
import { describe, expect, test } from 'vitest'
import { MAX_VALUE_BYTES } from '../../constants.js'
import { parseFleetConfig, parseHostList, parseHostSettings } from '../../JaymillParse.js'
import { SettingsError, type Problem } from '../../JaymillSettingsError.js'
import { FLEET, HOST_TEXT } from './fixtures.js'

const PARSERS = [parseFleetConfig, parseHostList, parseHostSettings]

function problemsOf (parse: (text: string, name: string) => unknown, text: string): readonly Problem[] {
  try {
    parse(text, 'file.jsonc')
    return []
  } catch (err) {
    if (err instanceof SettingsError) return err.problems
    throw err
  }
}

function fleetProblems (change: (fleet: any) => void): string[] {
  const fleet = structuredClone(FLEET)
  change(fleet)
  return problemsOf(parseFleetConfig, JSON.stringify(fleet)).map(problem => `${problem.path}: ${problem.message}`)
}

describe('valid documents', () => {
  test('fills in defaults of host settings', () => {
    const settings = parseHostSettings(HOST_TEXT, 'host.jsonc')
    expect(settings.limits.clockSkewMs).toBe(250)
    expect(settings.log.level).toBe('info')
    expect(settings.platform).toMatchObject({ kind: 'file', rereadMs: 1_000 })
  })

  test('fills in defaults of the fleet', () => {
    const fleet = parseFleetConfig(JSON.stringify(FLEET), 'fleet.json')
    expect(fleet.pools[0]?.endpoints[0]).toMatchObject({ state: 'active', checksFencing: false })
    expect(fleet.routes[1]?.hedging).toBe(false)
  })
})

describe('invalid documents', () => {
  test('reports path, line and column of every problem', () => {
    const text = HOST_TEXT.replace('"zone"', '"zoen"').replace('"127.0.0.1", "port": 0', '"localhost", "port": 70000')
      .replace('"env": "PEER"', '"env": "PEER", "value": "x"')
    expect(problemsOf(parseHostSettings, text).map(({ path, line, column }) => ({ path, line, column }))).toEqual([
      { path: 'host.zone', line: 3, column: 11 },
      { path: 'host.zoen', line: 3, column: 25 },
      { path: 'listen.caller.address', line: 5, column: 28 },
      { path: 'listen.caller.port', line: 5, column: 49 },
      { path: 'credentials.peerToken', line: 11, column: 33 }
    ])
  })

  test('suggests the nearest known key, also inside variants', () => {
    const text = HOST_TEXT.replace('"zone"', '"zoen"').replace('"hostsPath"', '"hostPath"')
    const messages = problemsOf(parseHostSettings, text).map(problem => problem.message)
    expect(messages).toContain('unknown key; did you mean "zone"?')
    expect(messages).toContain('unknown key; did you mean "hostsPath"?')
  })

  test('continues after a syntax error', () => {
    const text = HOST_TEXT.replace('"brest", ', '"brest" ').replace('"hosts.json"', '5')
    expect(problemsOf(parseHostSettings, text).map(problem => problem.line)).toEqual([3, 10])
  })

  test('reports a duplicate key', () => {
    const text = HOST_TEXT.replace('"zone": "brest"', '"zone": "brest", "zone": "rennes"')
    expect(problemsOf(parseHostSettings, text)).toMatchObject([{ path: 'host.zone', line: 3, message: 'duplicate key' }])
  })

  test('reports invalid references together with schema errors', () => {
    expect(fleetProblems(fleet => {
      fleet.models[0].decodePool = 'pre'
      fleet.models[0].prefillPool = 'none'
      fleet.routes[1].hedging = true
      fleet.accounts[0].keySha256 = 'secret'
      fleet.services[0].paths[0].route = 'nowhere'
    })).toEqual([
      'models[0].prefillPool: there is no pool "none"',
      'models[0].decodePool: pool "pre" has the role "prefill"; it must be "decode" or "both"',
      'services[0].paths[0].route: there is no route "nowhere"',
      'routes[1].hedging: a route that is not idempotent must not be hedged',
      'accounts[0].keySha256: must be a SHA-256 in 64 lower-case hexadecimal digits'
    ])
  })

  test.each<[string, (fleet: any) => void, string]>([
    ['duplicate endpoint id', fleet => { fleet.pools[1].endpoints[0].id = 'p1' }, 'pools[1].endpoints[0].id: is used twice: "p1"'],
    ['duplicate URL', fleet => { fleet.pools[1].endpoints[0].url = 'http://127.0.0.1:8000/' }, 'pools[1].endpoints[0].url: is used twice: "http://127.0.0.1:8000/"'],
    ['host name in URL', fleet => { fleet.pools[0].endpoints[0].url = 'http://gpu-1:8000' }, 'pools[0].endpoints[0].url: must contain an IP address, not a host name'],
    ['wrong adapter for a role', fleet => { fleet.pools[2].adapter = 'engine' }, 'pools[2].adapter: must be "http" for the role "service"'],
    ['decode endpoint without KV pieces', fleet => { fleet.pools[1].endpoints[0].kvPieces = 0 }, 'pools[1].endpoints[0].kvPieces: must be above 0 where tokens are generated'],
    ['reserved path', fleet => { fleet.services[0].paths[0].path = '/v1/completions' }, 'services[0].paths[0].path: is reserved for models'],
    ['TTFT target above the deadline', fleet => { fleet.routes[0].ttftMs = 40_000 }, 'routes[0].ttftMs: must not be above deadlineMs']
  ])('%s', (_name, change, expected) => {
    expect(fleetProblems(change)).toEqual([expected])
  })
})

describe('malicious input', () => {
  test('rejects documents that are too large or nested too deeply', () => {
    expect(problemsOf(parseFleetConfig, `"${'x'.repeat(MAX_VALUE_BYTES)}"`)).toHaveLength(1)
    expect(problemsOf(parseFleetConfig, '['.repeat(100_000))[0]?.message).toContain('nested')
  })

  test('throws only SettingsError, and reports only lines that exist', () => {
    const base = JSON.stringify(FLEET, null, 1)
    const spliced = fc.tuple(fc.nat(base.length), fc.nat(40), fc.string({ maxLength: 8 }))
      .map(([at, cut, put]) => base.slice(0, at) + put + base.slice(at + cut))
    const texts = fc.oneof(fc.string(), fc.json(), spliced, spliced.map(text => `${text}\r\n{"__proto__":{"a":1}}`))
    fc.assert(fc.property(texts, text => PARSERS.every(parse => {
      const lines = text.split(/\r\n|\r|\n/)
      return problemsOf(parse, text).every(({ line, column }) =>
        line >= 1 && line <= lines.length && column >= 1 && column <= (lines[line - 1]?.length ?? 0) + 2)
    })), { seed: 7, numRuns: 400 })
  })
})
