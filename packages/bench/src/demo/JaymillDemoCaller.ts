import { createParser } from 'eventsource-parser'
import { DEMO_API_KEY, DEMO_MODEL } from './JaymillDemoDocuments.js'

/** Streamed completion as a caller received it. */
export interface CompletionResponse {
  readonly text: string
  /** Ids of the events in the order of arrival. */
  readonly ids: readonly number[]
  /** Whether the end marker arrived. */
  readonly complete: boolean
  /** Problem document of a failed response. */
  readonly problem: unknown
}

/** Response of a plain service as a caller received it. */
export interface JsonResponse {
  readonly status: number
  readonly body: Record<string, unknown>
}

const AUTHORIZATION = { Authorization: `Bearer ${DEMO_API_KEY}` }

/** Caller of the demo; sends its requests to one host. */
export class DemoCaller {
  private readonly _url: string

  /**
   * @param url - Base URL of a host's caller listener.
   */
  constructor (url: string) {
    this._url = url
  }

  /**
   * Streams a completion.
   *
   * @param prompt - Prompt.
   * @param maxTokens - Largest number of tokens to generate.
   * @param opts - Extra headers, a callback that receives the number of events so far, and a signal that closes the connection.
   * @returns Received response.
   */
  async stream (prompt: string, maxTokens: number, opts: {
    headers?: Record<string, string>, onEvent?: (eventCount: number) => void, signal?: AbortSignal
  } = {}): Promise<CompletionResponse> {
    const res = await fetch(`${this._url}/v1/completions`, {
      method: 'POST',
      headers: { ...AUTHORIZATION, 'Content-Type': 'application/json', ...opts.headers },
      body: JSON.stringify({ model: DEMO_MODEL, prompt, max_tokens: maxTokens, stream: true }),
      signal: opts.signal ?? null
    })
    if (!res.ok || res.body === null) return { text: '', ids: [], complete: false, problem: await res.json() }
    return await readStream(res.body, opts.onEvent ?? (() => {}))
  }

  /**
   * Sends a booking.
   *
   * @param customer - Name of the customer.
   * @param key - Idempotency key, if any.
   * @returns Received response.
   */
  async book (customer: string, key?: string): Promise<JsonResponse> {
    const res = await fetch(`${this._url}/bookings`, {
      method: 'POST',
      headers: { ...AUTHORIZATION, 'Content-Type': 'application/json', ...(key === undefined ? {} : { 'Idempotency-Key': key }) },
      body: JSON.stringify({ customer })
    })
    return { status: res.status, body: await res.json() as Record<string, unknown> }
  }

  /**
   * Looks up the stock of an item.
   *
   * @param item - Name of the item.
   * @returns Received response.
   */
  async stock (item: string): Promise<JsonResponse> {
    const res = await fetch(`${this._url}/stock/${item}`, { headers: AUTHORIZATION })
    return { status: res.status, body: await res.json() as Record<string, unknown> }
  }
}

async function readStream (body: ReadableStream<Uint8Array>, onEvent: (eventCount: number) => void): Promise<CompletionResponse> {
  const ids: number[] = []
  const texts: string[] = []
  let complete = false
  let problem: unknown
  const parser = createParser({
    onEvent: event => {
      if (event.event === 'error') problem = JSON.parse(event.data)
      else if (event.data === '[DONE]') complete = true
      else {
        ids.push(Number(event.id))
        texts.push((JSON.parse(event.data) as { choices: Array<{ text: string }> }).choices[0]?.text ?? '')
        onEvent(ids.length)
      }
    }
  })
  const decoder = new TextDecoder()
  for await (const chunk of body as unknown as AsyncIterable<Uint8Array>) parser.feed(decoder.decode(chunk, { stream: true }))
  return { text: texts.join(''), ids, complete, problem }
}
