import { randomUUID } from 'node:crypto'
import { ErrorKind, FleetIndex, fleetIndex, RequestError, RequestRecord, RouteClass, RouteConfig } from '@jaymill/core'
import { z } from 'zod'
import { CompletionForm } from '../callers/JaymillCompletionBody.js'
import type { HostContext } from '../JaymillHostContext.js'
import type { ResolvedCompletion } from './JaymillCompletionJob.js'

const MODEL_ROUTE_CLASSES: readonly RouteClass[] = [RouteClass.Verdict, RouteClass.Summary]

/** Separates the caller's request id from the suffix that makes it unique on engines; not allowed in a caller's request id. */
const RUN_SEPARATOR = '~'

/** Schema of a completion request that one host forwards to another. */
export const completionRequestSchema = z.strictObject({
  requestId: z.string(),
  idempotencyKey: z.string().optional(),
  accountId: z.string(),
  /** Route that the caller names. Default: the route of the model. */
  routeId: z.string().optional(),
  /** Id of the last token that the caller has; 0 for the whole response. */
  lastId: z.number().int().min(0),
  /** Time until the deadline of the request, in milliseconds; set when the request is forwarded. */
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

/** A completion request of a caller; plain data, so that it can be forwarded to another host. */
export type CompletionRequest = z.infer<typeof completionRequestSchema>

/**
 * Finds the route of a completion request.
 *
 * @param fleet - Index of the active configuration.
 * @param req - Completion request.
 * @returns The route.
 * @throws RequestError of kind `NotFound` if the route or model is not configured, `BadRequest` if the route does not serve
 *   models.
 */
export function routeOf (fleet: FleetIndex, req: CompletionRequest): RouteConfig {
  const route = fleet.route(req.routeId ?? fleet.model(req.body.model).route)
  if (MODEL_ROUTE_CLASSES.includes(route.class) && route.idempotent) return route
  throw new RequestError(ErrorKind.BadRequest, `route ${route.id} does not serve models`)
}

/**
 * Opens the record of a completion request.
 *
 * @param ctx - Shared components of the host.
 * @param req - Completion request.
 * @returns The record.
 */
export function openRecord (ctx: HostContext, req: CompletionRequest): RequestRecord {
  const route = routeOf(fleetIndex(ctx.fleet()), req)
  const { requestId, accountId, idempotencyKey } = req
  const keyField = idempotencyKey === undefined ? {} : { idempotencyKey }
  return ctx.requests.open({ requestId, accountId, routeId: route.id, routeClass: route.class, ...keyField }, ctx.clock.nowMs())
}

/**
 * Resolves the names in a completion request against the active configuration.
 *
 * @param ctx - Shared components of the host.
 * @param req - Completion request.
 * @param record - Record of the request.
 * @param budgetMs - Time until the deadline of the request, in milliseconds.
 * @returns The resolved completion.
 * @throws RequestError if a name is not configured.
 */
export function resolveCompletion (
  ctx: HostContext, req: CompletionRequest, record: RequestRecord, budgetMs: number
): ResolvedCompletion {
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
