import { randomUUID } from 'node:crypto'
import { ErrorKind, FleetIndex, fleetIndex, RequestError, RequestRecord, RouteClass, RouteConfig } from '@jaymill/core'
import { z } from 'zod'
import { CompletionForm } from '../callers/JaymillCompletionBody.js'
import type { HostContext } from '../JaymillHostContext.js'
import type { CompletionOrder } from './JaymillCompletionJob.js'

const MODEL_CLASSES: readonly RouteClass[] = [RouteClass.Verdict, RouteClass.Summary]

/** Separates the caller's request id from what makes it unique on engines; no caller can send it. */
const RUN_SEPARATOR = '~'

/** Schema of a completion as one host passes it to another. */
export const completionRequestSchema = z.strictObject({
  requestId: z.string(),
  idempotencyKey: z.string().optional(),
  accountId: z.string(),
  /** Route the caller asked for; the model's own when absent. */
  routeId: z.string().optional(),
  /** Last id that the caller has; 0 for the whole answer. */
  lastId: z.number().int().min(0),
  /** Time for which the caller waits, in milliseconds; the route's own when absent. */
  budgetMs: z.number().optional(),
  body: z.strictObject({
    form: z.enum(CompletionForm),
    model: z.string(),
    prompt: z.string(),
    maxTokens: z.number().int().min(1),
    stream: z.boolean(),
    sampling: z.record(z.string(), z.unknown())
  })
})

/** A completion as a caller asks for it; plain data, so that it can be passed to another host. */
export type CompletionRequest = z.infer<typeof completionRequestSchema>

/**
 * Finds the route of a completion.
 *
 * @param fleet - Look-ups in the configuration in force.
 * @param req - Completion.
 * @returns The route.
 * @throws RequestError of kind `NotFound` or `BadRequest`.
 */
export function routeOf (fleet: FleetIndex, req: CompletionRequest): RouteConfig {
  const route = fleet.route(req.routeId ?? fleet.model(req.body.model).route)
  if (MODEL_CLASSES.includes(route.class) && route.idempotent) return route
  throw new RequestError(ErrorKind.BadRequest, `route ${route.id} does not serve models`)
}

/**
 * Opens the record of a completion.
 *
 * @param ctx - Shared parts of the host.
 * @param req - Completion.
 * @returns The record.
 */
export function openRecord (ctx: HostContext, req: CompletionRequest): RequestRecord {
  const route = routeOf(fleetIndex(ctx.fleet()), req)
  const { requestId, accountId, idempotencyKey } = req
  const key = idempotencyKey === undefined ? {} : { idempotencyKey }
  return ctx.requests.open({ requestId, accountId, routeId: route.id, routeClass: route.class, ...key }, ctx.clock.nowMs())
}

/**
 * Resolves the names of a completion in the configuration in force.
 *
 * @param ctx - Shared parts of the host.
 * @param req - Completion.
 * @param record - Its record.
 * @param budgetMs - Time for which the caller waits, in milliseconds.
 * @returns The order.
 * @throws RequestError when a name is not configured.
 */
export function orderOf (ctx: HostContext, req: CompletionRequest, record: RequestRecord, budgetMs: number): CompletionOrder {
  const fleet = fleetIndex(ctx.fleet())
  const { model, prompt, maxTokens, sampling } = req.body
  return {
    engineRequestId: `${req.requestId}${RUN_SEPARATOR}${randomUUID()}`,
    requestId: req.requestId,
    idempotencyKey: req.idempotencyKey,
    account: fleet.accountById(req.accountId),
    route: routeOf(fleet, req),
    model: fleet.model(model),
    modelName: model,
    prompt,
    maxTokens,
    sampling,
    record,
    deadlineAtMs: ctx.clock.nowMs() + budgetMs
  }
}
