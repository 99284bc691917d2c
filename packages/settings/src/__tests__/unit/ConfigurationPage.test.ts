import { readFileSync } from 'node:fs'
import { describe, expect, test } from 'vitest'
import { fieldReference } from '../../JaymillFieldReference.js'
import { fleetConfigSchema, hostListSchema } from '../../JaymillFleetSchema.js'
import { gatewaySettingsSchema } from '../../JaymillGatewaySettings.js'
import { hostSettingsSchema } from '../../JaymillHostSettings.js'
import { parseFleetConfig, parseHostList, parseHostSettings } from '../../JaymillParse.js'

const readDoc = (name: string): string => readFileSync(new URL(`../../../../../docs/${name}`, import.meta.url), 'utf8')
const rows = readDoc('CONFIGURATION.md').split('\n').filter(line => line.startsWith('| `'))
const schemas = [hostSettingsSchema, fleetConfigSchema, hostListSchema, gatewaySettingsSchema]

describe('the configuration page', () => {
  test('has exactly one row with unit, default and description for each field', () => {
    const expected = schemas.flatMap(schema => fieldReference(schema)).map(field => {
      const standard = field.required ? 'required' : 'none'
      const text = field.defaultText === undefined ? standard : `\`${field.defaultText}\``
      return `| \`${field.path}\` | ${field.type} | ${field.unit} | ${text} | ${field.description} |`
    })
    expect(rows).toEqual(expected)
    expect(expected.filter(row => row.endsWith('|  |'))).toEqual([])
  })

  test('has valid example documents', () => {
    expect(parseHostSettings(readDoc('examples/host.jsonc'), 'host.jsonc').host.id).toBe('brest-1')
    expect(parseFleetConfig(readDoc('examples/fleet.jsonc'), 'fleet.jsonc').models).toHaveLength(1)
    expect(parseHostList(readDoc('examples/hosts.jsonc'), 'hosts.jsonc').hosts).toHaveLength(1)
  })
})
