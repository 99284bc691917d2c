import type { ServerResponse } from 'node:http'
import { ErrorKind, RanState, RequestError, TokenEvent } from '@jaymill/core'
import { writeToCaller } from './JaymillCallerExchange.js'
import { CompletionBody, CompletionForm } from './JaymillCompletionBody.js'

/** Names that a reply repeats. */
export interface CompletionReplyMeta {
  readonly requestId: string
  readonly created: number
  /** Longest time for which the caller may read nothing, in milliseconds. */
  readonly stallMs: number
}

function choiceOf (body: CompletionBody, event: TokenEvent): object {
  const content = body.form === CompletionForm.Chat ? { delta: { content: event.text } } : { text: event.text }
  return { index: 0, ...content, finish_reason: event.finishReason }
}

function envelope (body: CompletionBody, meta: CompletionReplyMeta, choice: object, streamed: boolean): object {
  const object = body.form === CompletionForm.Text
    ? 'text_completion'
    : streamed ? 'chat.completion.chunk' : 'chat.completion'
  return { id: meta.requestId, object, created: meta.created, model: body.model, choices: [choice] }
}

/**
 * Streams an answer as server-sent events whose ids are token positions.
 *
 * @param res - Response to the caller.
 * @param body - What the caller asked for.
 * @param meta - Names to be repeated.
 * @param events - Tokens in order.
 * @param signal - Aborts when the caller is gone.
 */
export async function streamCompletion (
  res: ServerResponse, body: CompletionBody, meta: CompletionReplyMeta, events: AsyncIterable<TokenEvent>, signal: AbortSignal
): Promise<void> {
  const begin = (): void => {
    if (res.headersSent) return
    res.setHeader('Content-Type', 'text/event-stream')
    res.setHeader('Cache-Control', 'no-store')
    res.setHeader('X-Request-Id', meta.requestId)
    res.writeHead(200)
  }
  for await (const event of events) {
    begin()
    const chunk = JSON.stringify(envelope(body, meta, choiceOf(body, event), true))
    await writeToCaller(res, `id: ${event.id}\ndata: ${chunk}\n\n`, meta.stallMs, signal)
  }
  begin()
  res.end('data: [DONE]\n\n')
}

/**
 * Collects an answer and sends it as one document.
 *
 * @param res - Response to the caller.
 * @param body - What the caller asked for.
 * @param meta - Names to be repeated.
 * @param events - Tokens in order.
 */
export async function sendCompletion (
  res: ServerResponse, body: CompletionBody, meta: CompletionReplyMeta, events: AsyncIterable<TokenEvent>
): Promise<void> {
  const collected: TokenEvent[] = []
  for await (const event of events) collected.push(event)
  const last = collected.at(-1)
  if (last === undefined) throw new RequestError(ErrorKind.EndpointFailed, 'the engine sent no token', { ran: RanState.Yes })
  const text = collected.map(event => event.text).join('')
  const content = body.form === CompletionForm.Chat ? { message: { role: 'assistant', content: text } } : { text }
  const choice = { index: 0, ...content, finish_reason: last.finishReason }
  const usage = { completion_tokens: collected.length }
  res.writeHead(200, { 'Content-Type': 'application/json', 'X-Request-Id': meta.requestId })
  res.end(JSON.stringify({ ...envelope(body, meta, choice, false), usage }))
}
