import { JaymillError } from '@jaymill/core'

const SENSITIVE_NAME = /authorization|token$|secret|password|cookie|api-?key|keysha256|idempotency-?key|^key$/i
const BEARER = /\b(Bearer|Basic)\s+[^\s"',;]+/gi
const HIDDEN = '[redacted]'
const MAX_TEXT_CHARS = 2_048
const MAX_DEPTH = 6

/**
 * Copies a logged value without its secrets: hides values under sensitive names and credentials in texts, reduces errors to
 * their kind and message, and truncates long texts.
 *
 * @param value - Logged value.
 * @param depth - Nesting depth of the value.
 * @returns The redacted copy.
 */
export function redact (value: unknown, depth = 0): unknown {
  if (typeof value === 'string') return redactText(value)
  if (value instanceof Error) return redactError(value)
  if (typeof value !== 'object' || value === null) return typeof value === 'bigint' ? String(value) : value
  if (depth >= MAX_DEPTH) return '[too deep]'
  if (Array.isArray(value)) return value.map(item => redact(item, depth + 1))
  return Object.fromEntries(Object.entries(value).map(([name, member]) =>
    [name, SENSITIVE_NAME.test(name) ? HIDDEN : redact(member, depth + 1)]))
}

function redactText (text: string): string {
  const hidden = text.replace(BEARER, `$1 ${HIDDEN}`)
  return hidden.length <= MAX_TEXT_CHARS ? hidden : `${hidden.slice(0, MAX_TEXT_CHARS)}…`
}

function redactError (err: Error): object {
  const details = err instanceof JaymillError ? { kind: err.kind, ran: err.ran } : {}
  return { name: err.name, message: redactText(err.message), ...details }
}
