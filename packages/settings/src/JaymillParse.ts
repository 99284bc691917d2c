import type { FleetConfig, HostList } from '@jaymill/core'
import type * as z from 'zod'
import { JsonDocument, type Finding } from './JaymillDocument.js'
import { checkFleet, checkHostList, checkHostSettings } from './JaymillFleetChecks.js'
import { fleetConfigSchema, hostListSchema } from './JaymillFleetSchema.js'
import { gatewaySettingsSchema, type GatewaySettings } from './JaymillGatewaySettings.js'
import { hostSettingsSchema, type HostSettings } from './JaymillHostSettings.js'
import { checkSchema } from './JaymillSchemaCheck.js'
import { SettingsError, type Problem } from './JaymillSettingsError.js'

/**
 * Parses and checks the settings of one host.
 *
 * @param text - JSON with comments.
 * @param fileName - Name of the document in problems.
 * @returns The settings with defaults filled in.
 * @throws SettingsError that lists every problem.
 */
export function parseHostSettings (text: string, fileName: string): HostSettings {
  return parse(hostSettingsSchema, checkHostSettings, text, fileName)
}

/**
 * Parses and checks the settings of one gateway host.
 *
 * @param text - JSON with comments.
 * @param fileName - Name of the document in problems.
 * @returns The settings with defaults filled in.
 * @throws SettingsError that lists every problem.
 */
export function parseGatewaySettings (text: string, fileName: string): GatewaySettings {
  return parse(gatewaySettingsSchema, () => [], text, fileName)
}

/**
 * Parses and checks a fleet configuration.
 *
 * @param text - JSON with comments.
 * @param fileName - Name of the document in problems.
 * @returns The configuration with defaults filled in.
 * @throws SettingsError that lists every problem.
 */
export function parseFleetConfig (text: string, fileName: string): FleetConfig {
  return parse(fleetConfigSchema, checkFleet, text, fileName)
}

/**
 * Parses and checks a host list.
 *
 * @param text - JSON with comments.
 * @param fileName - Name of the document in problems.
 * @returns The list with defaults filled in.
 * @throws SettingsError that lists every problem.
 */
export function parseHostList (text: string, fileName: string): HostList {
  return parse(hostListSchema, checkHostList, text, fileName)
}

function parse<Schema extends z.ZodType> (
  schema: Schema, crossCheck: (doc: unknown) => Finding[], text: string, fileName: string
): z.output<Schema> {
  const doc = new JsonDocument(text)
  const value = doc.value()
  const result = value === undefined ? { findings: [] } : checkSchema(schema, value)
  const locatedProblems = [...result.findings, ...crossCheck(value)].map(finding => doc.locate(finding))
  const problems = [...doc.syntaxProblems, ...locatedProblems].sort(byPosition)
  if (problems.length > 0 || result.value === undefined) throw new SettingsError(fileName, orEmptyDocumentProblem(problems))
  return result.value
}

function byPosition (a: Problem, b: Problem): number {
  return a.line - b.line || a.column - b.column
}

function orEmptyDocumentProblem (problems: readonly Problem[]): readonly Problem[] {
  return problems.length > 0 ? problems : [{ path: '', line: 1, column: 1, message: 'contains no value' }]
}
