import { AdapterKind, EndpointState, HostState, PoolRole, RouteClass } from '@jaymill/core'
import * as z from 'zod'
import { countField, idField, modelField, rateField, textField, Unit, urlField } from './JaymillFields.js'

const KEY_HASH_PATTERN = /^[0-9a-f]{64}$/

enum HttpMethod {
  Get = 'GET',
  Head = 'HEAD',
  Post = 'POST',
  Put = 'PUT',
  Patch = 'PATCH',
  Delete = 'DELETE'
}

const endpoint = z.strictObject({
  id: idField('Id, unique in the fleet.'),
  url: urlField('Base URL with an IP number.'),
  zone: idField('Availability zone.'),
  state: z.enum(EndpointState).default(EndpointState.Active)
    .meta({ description: 'A leaving endpoint gets no new work.' }),
  slots: countField(1, Unit.Requests, 'Requests that run at once.'),
  kvPieces: countField(0, Unit.Pieces, 'Pieces of KV memory; 0 for plain services.').default(0),
  checksFencing: z.boolean().default(false).meta({ description: 'Whether orders with an old fencing token are rejected.' })
})

const pool = z.strictObject({
  id: idField('Id of the pool.'),
  role: z.enum(PoolRole).meta({ description: 'What its endpoints do.' }),
  adapter: z.enum(AdapterKind).meta({ description: 'Protocol that its endpoints speak.' }),
  linkBytesPerSecond: countField(0, Unit.BytesPerSecond, 'Rate of the shared KV link into the pool; 0 when there is none.')
    .default(0),
  endpoints: z.array(endpoint).meta({ description: 'Its endpoints.' })
})

const model = z.strictObject({
  id: modelField('Name that callers send.'),
  prefillPool: idField('Pool that runs its prompts.'),
  decodePool: idField('Pool that generates its tokens.'),
  version: textField('Version of the weights.'),
  adapters: z.array(textField('Name of an adapter.')).default([]).meta({ description: 'LoRA adapters to be loaded.' }),
  tokensPerPiece: countField(1, Unit.Tokens, 'Tokens of KV cache in one piece.'),
  kvBytesPerToken: countField(0, Unit.Bytes, 'KV bytes of one prompt token.'),
  route: idField('Route that sets class, targets and deadline.')
})

const route = z.strictObject({
  id: idField('Id of the route.'),
  class: z.enum(RouteClass).meta({ description: 'Class; bookings come first, summaries last.' }),
  idempotent: z.boolean().meta({ description: 'Whether a request may run twice without harm.' }),
  ttftMs: countField(1, Unit.Milliseconds, 'Target for the first token or byte.'),
  interTokenMs: countField(0, Unit.Milliseconds, 'Target between tokens; 0 for plain services.').default(0),
  deadlineMs: countField(1, Unit.Milliseconds, 'Time after which the caller no longer wants the answer.'),
  hedging: z.boolean().default(false).meta({ description: 'Whether a second copy may be sent to cut the tail.' })
})

const service = z.strictObject({
  id: idField('Id of the service.'),
  pool: idField('Pool that serves it.'),
  paths: z.array(z.strictObject({
    method: z.enum(HttpMethod).meta({ description: 'HTTP method.' }),
    path: z.string().startsWith('/', 'must start with "/"').meta({ description: 'Path prefix.' }),
    route: idField('Route of its requests.')
  })).meta({ description: 'Paths that it answers.' })
})

const account = z.strictObject({
  id: idField('Id of the account.'),
  keySha256: z.string().regex(KEY_HASH_PATTERN, 'must be a SHA-256 in 64 lower-case hexadecimal digits')
    .meta({ description: 'SHA-256 of its API key.' }),
  weight: rateField(Unit.None, 'Share of capacity relative to other accounts.').default(1),
  requestsPerSecond: rateField(Unit.PerSecond, 'Limit of requests over all hosts.'),
  tokensPerSecond: rateField(Unit.PerSecond, 'Limit of prompt and output tokens over all hosts.')
})

/** Schema of the fleet configuration. */
export const fleetConfigSchema = z.strictObject({
  revision: countField(1, Unit.None, 'Rises with every change.'),
  pools: z.array(pool).meta({ description: 'Pools of endpoints.' }),
  models: z.array(model).default([]).meta({ description: 'Models.' }),
  services: z.array(service).default([]).meta({ description: 'Plain services.' }),
  routes: z.array(route).meta({ description: 'Kinds of request.' }),
  accounts: z.array(account).meta({ description: 'Accounts of callers.' }),
  anonymousAccount: idField('Account of requests without an API key; they are refused when it is absent.').optional()
})

/** Schema of the published host list. */
export const hostListSchema = z.strictObject({
  revision: countField(1, Unit.None, 'Rises with every change.'),
  hosts: z.array(z.strictObject({
    id: idField('Id of the host.'),
    zone: idField('Availability zone.'),
    region: idField('Region.'),
    peerUrl: urlField('Base URL of its peer listener, with an IP number.'),
    state: z.enum(HostState).default(HostState.Live).meta({ description: 'A leaving host gets no new work.' }),
    slot: idField('Name by which keys are placed; default: the id. A replacement that takes over the name moves no other keys.').optional()
  })).meta({ description: 'Hosts of the system.' }),
  leavingEndpoints: z.array(idField('Id of an endpoint.')).default([]).meta({ description: 'Endpoints that are leaving.' }),
  coldStart: z.strictObject({
    revision: countField(1, Unit.None, 'Revision of this list; the declaration has no effect under other revisions.'),
    atMs: countField(1, Unit.Milliseconds, 'Wall-clock time since the Unix epoch, by which nothing acts under earlier lists.')
  }).optional().meta({ description: 'Declares that a majority of every earlier list has been stopped.' })
})
