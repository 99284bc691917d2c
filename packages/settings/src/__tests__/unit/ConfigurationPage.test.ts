import { readFileSync } from 'node:fs'
import { describe, expect, test } from 'vitest'
import { fieldReference } from '../../JaymillFieldReference.js'
import { fleetConfigSchema, hostListSchema } from '../../JaymillFleetSchema.js'
import { gatewaySettingsSchema } from '../../JaymillGatewaySettings.js'
import { hostSettingsSchema } from '../../JaymillHostSettings.js'
import { parseFleetConfig, parseHostList, parseHostSettings } from '../../JaymillParse.js'

const doc = (name: string): string => readFileSync(new URL(`../../../../../docs/${name}`, import.meta.url), 'utf8')
const rows = doc('CONFIGURATION.md').split('\n').filter(line => line.startsWith('| `'))
const schemas = [hostSettingsSchema, fleetConfigSchema, hostListSchema, gatewaySettingsSchema]

describe('the configuration page', () => {
  test('has a row with unit, default and meaning for each field, and no other rows', () => {
    const expected = schemas.flatMap(schema => fieldReference(schema)).map(field => {
      const standard = field.required ? 'required' : 'none'
      const text = field.defaultText === undefined ? standard : `\`${field.defaultText}\``
      return `| \`${field.path}\` | ${field.type} | ${field.unit} | ${text} | ${field.description} |`
    })
    expect(rows).toEqual(expected)
    expect(expected.filter(row => row.endsWith('|  |'))).toEqual([])
  })

  test('shows examples that are in order', () => {
    expect(parseHostSettings(doc('examples/host.jsonc'), 'host.jsonc').host.id).toBe('brest-1')
    expect(parseFleetConfig(doc('examples/fleet.jsonc'), 'fleet.jsonc').models).toHaveLength(1)
    expect(parseHostList(doc('examples/hosts.jsonc'), 'hosts.jsonc').hosts).toHaveLength(1)
  })
})
