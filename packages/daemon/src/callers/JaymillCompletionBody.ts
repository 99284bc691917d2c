import { z } from 'zod'
import { ErrorKind, RequestError } from '@jaymill/core'

const MAX_TOKENS = 32_768
const DEFAULT_MAX_TOKENS = 256

const commonFields = {
  model: z.string().min(1),
  max_tokens: z.number().int().min(1).max(MAX_TOKENS).default(DEFAULT_MAX_TOKENS),
  stream: z.boolean().default(false)
}

const completionSchema = z.looseObject({ ...commonFields, prompt: z.string().min(1) })
const contentSchema = z.union([z.string(), z.array(z.object({ type: z.literal('text'), text: z.string() }))])
const chatSchema = z.looseObject({
  ...commonFields,
  messages: z.array(z.looseObject({ role: z.string(), content: contentSchema })).min(1)
})

/** Variant of the completion API: plain text or chat. */
export enum CompletionForm {
  Text = 'text',
  Chat = 'chat'
}

/** Parsed body of a completion request. */
export interface CompletionBody {
  readonly form: CompletionForm
  readonly model: string
  readonly prompt: string
  readonly maxTokens: number
  readonly stream: boolean
  /** Other members, which are passed to the engine unchanged. */
  readonly sampling: Readonly<Record<string, unknown>>
}

const SINGLE_CHOICE_MEMBERS = ['n', 'best_of'] as const
const RESERVED_MEMBERS: readonly string[] = ['kv_transfer_params', 'priority', 'request_id']

function validate<Value> (schema: z.ZodType<Value>, value: unknown): Value {
  const result = schema.safeParse(value)
  if (result.success) return result.data
  const reasons = result.error.issues.map(({ path, message }) => `${path.join('.') || 'body'}: ${message}`)
  throw new RequestError(ErrorKind.BadRequest, reasons.join('; '))
}

function samplingOf (rest: Record<string, unknown>): Record<string, unknown> {
  const unsupported = SINGLE_CHOICE_MEMBERS.find(name => rest[name] !== undefined && rest[name] !== 1)
  if (unsupported !== undefined) throw new RequestError(ErrorKind.BadRequest, `${unsupported}: only 1 is supported`)
  return Object.fromEntries(Object.entries(rest).filter(([name]) => !RESERVED_MEMBERS.includes(name)))
}

function contentText (content: z.infer<typeof contentSchema>): string {
  return typeof content === 'string' ? content : content.map(({ text }) => text).join('')
}

/**
 * Validates the body of a completion request.
 *
 * @param form - Variant of the API that was called.
 * @param value - Parsed JSON.
 * @returns The validated body.
 * @throws RequestError of kind `BadRequest` that names every invalid member.
 */
export function parseCompletionBody (form: CompletionForm, value: unknown): CompletionBody {
  if (form === CompletionForm.Text) {
    const { model, prompt, max_tokens: maxTokens, stream, ...rest } = validate(completionSchema, value)
    return { form, model, prompt, maxTokens, stream, sampling: samplingOf(rest) }
  }
  const { model, messages, max_tokens: maxTokens, stream, ...rest } = validate(chatSchema, value)
  const turns = messages.map(({ role, content }) => `${role}: ${contentText(content)}`)
  return { form, model, prompt: [...turns, 'assistant:'].join('\n'), maxTokens, stream, sampling: samplingOf(rest) }
}
