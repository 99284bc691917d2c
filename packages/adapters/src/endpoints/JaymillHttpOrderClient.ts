import { EngineOrder, EngineReport, ErrorKind, OrderClient, OrderResult, PoolRole, RanState, RequestError } from '@jaymill/core'
import { createConnector } from '@jaymill/http'
import { Agent, Dispatcher, request } from 'undici'
import { z } from 'zod'
import { checkStatus, readJson } from './JaymillJsonExchange.js'

const MAX_REPORT_BYTES = 64 * 1024
const READ_TIMEOUT_MS = 2_000
const ORDER_TIMEOUT_MS = 10_000
const STALE_STATUS = 409

const AGENT = new Agent({ connect: createConnector(ORDER_TIMEOUT_MS) })

const reportSchema: z.ZodType<EngineReport> = z.object({
  fencingToken: z.number().int().nonnegative(),
  model: z.string().optional(),
  version: z.string().optional(),
  adapters: z.array(z.string()).optional(),
  role: z.enum(PoolRole).optional()
})

/** Sends orders to engines over HTTP: `GET /orders` and `POST /orders`. */
export class HttpOrderClient extends OrderClient {
  /** {@inheritDoc @jaymill/core#OrderClient.read} */
  async read (url: string, signal: AbortSignal): Promise<EngineReport> {
    const res = await sendRequest(url, { method: 'GET' }, AbortSignal.any([signal, AbortSignal.timeout(READ_TIMEOUT_MS)]))
    await checkStatus(res, url)
    return await readJson(res.body, reportSchema, MAX_REPORT_BYTES)
  }

  /** {@inheritDoc @jaymill/core#OrderClient.send} */
  async send (url: string, order: EngineOrder, signal: AbortSignal): Promise<OrderResult> {
    const call = { method: 'POST' as const, headers: { 'content-type': 'application/json' }, body: JSON.stringify(order) }
    const res = await sendRequest(url, call, AbortSignal.any([signal, AbortSignal.timeout(ORDER_TIMEOUT_MS)]))
    if (res.statusCode !== STALE_STATUS) await checkStatus(res, url)
    await res.body.dump()
    return res.statusCode === STALE_STATUS ? OrderResult.Stale : OrderResult.Done
  }
}

type OrderRequest = Pick<Dispatcher.RequestOptions, 'method' | 'headers' | 'body'>

async function sendRequest (url: string, call: OrderRequest, signal: AbortSignal): Promise<Dispatcher.ResponseData> {
  return await request(new URL('/orders', url), { ...call, dispatcher: AGENT, signal }).catch((err: unknown) => {
    throw new RequestError(ErrorKind.EndpointFailed, `${url} did not respond to /orders`, { ran: RanState.Unknown, cause: err })
  })
}
