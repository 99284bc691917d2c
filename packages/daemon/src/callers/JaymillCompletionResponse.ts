import type { ServerResponse } from 'node:http'
import { ErrorKind, RanState, RequestError, TokenEvent } from '@jaymill/core'
import { writeToCaller } from './JaymillCallerExchange.js'
import { CompletionBody, CompletionForm } from './JaymillCompletionBody.js'

/** Metadata of a completion response. */
export interface CompletionResponseMeta {
  readonly requestId: string
  /** Creation time, in seconds since the epoch. */
  readonly created: number
  /** Maximum time without progress by the caller, in milliseconds. */
  readonly stallMs: number
}

function choiceOf (body: CompletionBody, event: TokenEvent): object {
  const content = body.form === CompletionForm.Chat ? { delta: { content: event.text } } : { text: event.text }
  return { index: 0, ...content, finish_reason: event.finishReason }
}

function envelope (body: CompletionBody, meta: CompletionResponseMeta, choice: object, streamed: boolean): object {
  const object = body.form === CompletionForm.Text
    ? 'text_completion'
    : streamed ? 'chat.completion.chunk' : 'chat.completion'
  return { id: meta.requestId, object, created: meta.created, model: body.model, choices: [choice] }
}

/**
 * Streams a response as server-sent events whose ids are token positions.
 *
 * @param res - Response to the caller.
 * @param body - Body of the request.
 * @param meta - Metadata of the response.
 * @param events - Tokens in order.
 * @param signal - Aborts when the caller disconnects.
 */
export async function streamCompletion (
  res: ServerResponse, body: CompletionBody, meta: CompletionResponseMeta, events: AsyncIterable<TokenEvent>, signal: AbortSignal
): Promise<void> {
  const sendHeaders = (): void => {
    if (res.headersSent) return
    res.setHeader('Content-Type', 'text/event-stream')
    res.setHeader('Cache-Control', 'no-store')
    res.setHeader('X-Request-Id', meta.requestId)
    res.writeHead(200)
  }
  for await (const event of events) {
    sendHeaders()
    const chunk = JSON.stringify(envelope(body, meta, choiceOf(body, event), true))
    await writeToCaller(res, `id: ${event.id}\ndata: ${chunk}\n\n`, meta.stallMs, signal)
  }
  sendHeaders()
  res.end('data: [DONE]\n\n')
}

/**
 * Collects all tokens and sends them as one JSON document.
 *
 * @param res - Response to the caller.
 * @param body - Body of the request.
 * @param meta - Metadata of the response.
 * @param events - Tokens in order.
 * @throws RequestError of kind `EndpointFailed` if there is no token.
 */
export async function sendCompletion (
  res: ServerResponse, body: CompletionBody, meta: CompletionResponseMeta, events: AsyncIterable<TokenEvent>
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
