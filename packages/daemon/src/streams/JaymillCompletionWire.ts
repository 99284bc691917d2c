import { fromProblem, ProblemDocument, TokenEvent } from '@jaymill/core'
import { z } from 'zod'

/** Path of forwarded completions, after `/forward/`. */
export const COMPLETION_FORWARD_PATH = '~answers'
const FORWARD_PREFIX = '/forward/'

/**
 * Checks whether a request on the peer listener is a forwarded completion.
 *
 * @param url - Path of the request.
 * @returns Whether it is the path of forwarded completions.
 */
export function isCompletionForwardPath (url: string | undefined): boolean {
  return url === `${FORWARD_PREFIX}${COMPLETION_FORWARD_PATH}`
}

/** Maximum time between two lines of a forwarded response, in milliseconds. */
export const LINE_INTERVAL_MS = 500
/** Time without a line after which the host that runs a forwarded completion is considered lost, in milliseconds. */
export const LINE_TIMEOUT_MS = 2_500

const tokenSchema = z.strictObject({ id: z.number().int(), text: z.string(), finishReason: z.string().nullable() })
const lineSchema = z.union([
  z.strictObject({ token: tokenSchema }),
  z.strictObject({ problem: z.unknown() }),
  z.strictObject({ end: z.literal(true) }),
  z.strictObject({ alive: z.literal(true) })
])

/** One line of a forwarded response. */
export type CompletionLine =
  | { readonly token: TokenEvent }
  | { readonly problem: ProblemDocument }
  | { readonly end: true }
  | { readonly alive: true }

/**
 * Encodes one line.
 *
 * @param line - Content of the line.
 * @returns JSON with a line feed.
 */
export function encodeLine (line: CompletionLine): string {
  return `${JSON.stringify(line)}\n`
}

/**
 * Decodes one line.
 *
 * @param text - Line without its line feed.
 * @returns A token, `null` for a keep-alive line, or `undefined` at the end of the response.
 * @throws RequestError that the other host reported; SyntaxError or ZodError if the line is malformed.
 */
export function decodeLine (text: string): TokenEvent | null | undefined {
  const line = lineSchema.parse(JSON.parse(text))
  if ('token' in line) return line.token
  if ('alive' in line) return null
  if ('end' in line) return undefined
  throw fromProblem(line.problem) ?? new SyntaxError('a problem line contains no problem document')
}
