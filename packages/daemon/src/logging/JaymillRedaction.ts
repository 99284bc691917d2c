import { JaymillError } from '@jaymill/core'

const SENSITIVE_NAME = /authorization|token$|secret|password|cookie|api-?key|keysha256|idempotency-?key|^key$/i
const BEARER = /\b(Bearer|Basic)\s+[^\s"',;]+/gi
const HIDDEN = '[redacted]'
const MAX_TEXT_CHARS = 2_048
const MAX_DEPTH = 6

/**
 * Makes a copy of a logged value that holds no secrets: values under sensitive names and bearer tokens are hidden,
 * failures become their kind and message, long texts are cut.
 *
 * @param value - Anything that is logged.
 * @param depth - Levels above this value.
 * @returns The copy.
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
  const known = err instanceof JaymillError ? { kind: err.kind, ran: err.ran } : {}
  return { name: err.name, message: redactText(err.message), ...known }
}
