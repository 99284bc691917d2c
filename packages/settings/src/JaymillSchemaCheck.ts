import { closest, distance } from 'fastest-levenshtein'
import * as z from 'zod'
import { MAX_SUGGESTION_DISTANCE } from './constants.js'
import type { Finding, ValuePath } from './JaymillDocument.js'
import { allowedKeysAt } from './JaymillFieldReference.js'

/** Result of checking a value against a schema. */
export interface SchemaCheckResult<Value> {
  /** The value with defaults filled in; absent when there are findings. */
  readonly value?: Value
  readonly findings: readonly Finding[]
}

/**
 * Checks a value against a schema.
 *
 * @param schema - Schema that the value must match.
 * @param value - Parsed JSON.
 * @returns The typed value, or every finding.
 */
export function checkSchema<Schema extends z.ZodType> (schema: Schema, value: unknown): SchemaCheckResult<z.output<Schema>> {
  const result = schema.safeParse(value)
  if (result.success) return { value: result.data, findings: [] }
  return { findings: result.error.issues.flatMap(issue => findingsOf(schema, value, issue)) }
}

function findingsOf (schema: z.ZodType, value: unknown, issue: z.core.$ZodIssue): Finding[] {
  const path = issue.path.map(part => typeof part === 'number' ? part : String(part))
  if (issue.code === 'unrecognized_keys') {
    const allowedKeys = allowedKeysAt(schema, path, value)
    return issue.keys.map(key => ({ path: [...path, key], message: unknownKeyMessage(key, allowedKeys), atKey: true }))
  }
  return [{ path, message: isAbsent(value, path) ? 'is missing' : issue.message }]
}

function unknownKeyMessage (key: string, allowedKeys: readonly string[]): string {
  const nearest = allowedKeys.length === 0 ? undefined : closest(key, [...allowedKeys])
  const limit = Math.min(MAX_SUGGESTION_DISTANCE, Math.floor(key.length / 2))
  const isNear = nearest !== undefined && distance(key, nearest) <= limit
  return isNear ? `unknown key; did you mean "${nearest}"?` : `unknown key; known keys are ${allowedKeys.join(', ')}`
}

function isAbsent (value: unknown, path: ValuePath): boolean {
  const target = path.reduce<unknown>((parent, part) => (parent as Record<string, unknown> | undefined)?.[part], value)
  return target === undefined
}
