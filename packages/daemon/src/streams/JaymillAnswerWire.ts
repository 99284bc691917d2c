import { fromProblem, ProblemDocument, TokenEvent } from '@jaymill/core'
import { z } from 'zod'

/** Path, after `/forward/`, of answers that another host reads. */
export const ANSWER_PATH = '~answers'
const FORWARD_PREFIX = '/forward/'

/**
 * @param url - Path of a request on the peer listener.
 * @returns Whether it asks for an answer.
 */
export function isAnswerPath (url: string | undefined): boolean {
  return url === `${FORWARD_PREFIX}${ANSWER_PATH}`
}

/** Time between two lines of a forwarded answer, at most, in milliseconds. */
export const LINE_INTERVAL_MS = 500
/** Silence after which the host that runs a forwarded answer counts as lost, in milliseconds. */
export const LINE_TIMEOUT_MS = 2_500

const tokenSchema = z.strictObject({ id: z.number().int(), text: z.string(), finishReason: z.string().nullable() })
const lineSchema = z.union([
  z.strictObject({ token: tokenSchema }),
  z.strictObject({ problem: z.unknown() }),
  z.strictObject({ end: z.literal(true) }),
  z.strictObject({ alive: z.literal(true) })
])

/** One line of a forwarded answer. */
export type AnswerLine =
  | { readonly token: TokenEvent }
  | { readonly problem: ProblemDocument }
  | { readonly end: true }
  | { readonly alive: true }

/**
 * Writes one line.
 *
 * @param line - What to say.
 * @returns JSON with a line feed.
 */
export function encodeLine (line: AnswerLine): string {
  return `${JSON.stringify(line)}\n`
}

/**
 * Reads one line.
 *
 * @param text - Line without its line feed.
 * @returns A token, or `null` for a line that only shows that the host is alive; `undefined` at the end of the answer.
 * @throws RequestError that the other host reported; SyntaxError or ZodError for anything else.
 */
export function decodeLine (text: string): TokenEvent | null | undefined {
  const line = lineSchema.parse(JSON.parse(text))
  if ('token' in line) return line.token
  if ('alive' in line) return null
  if ('end' in line) return undefined
  throw fromProblem(line.problem) ?? new SyntaxError('a problem line holds no problem document')
}
