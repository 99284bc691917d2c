import { AdapterKind, EndpointState, HostState, PoolRole, RouteClass } from '@jaymill/core'
import * as z from 'zod'
import { integerField, idField, modelField, positiveNumberField, textField, Unit, urlField } from './JaymillFields.js'

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
  url: urlField('Base URL with an IP address.'),
  zone: idField('Availability zone.'),
  state: z.enum(EndpointState).default(EndpointState.Active)
    .meta({ description: 'A leaving endpoint gets no new work.' }),
  slots: integerField(1, Unit.Requests, 'Maximum number of concurrent requests.'),
  kvPieces: integerField(0, Unit.Pieces, 'KV cache capacity in pieces; 0 for plain services.').default(0),
  checksFencing: z.boolean().default(false)
    .meta({ description: 'Whether the endpoint rejects orders with a stale fencing token.' })
})

const pool = z.strictObject({
  id: idField('Id of the pool.'),
  role: z.enum(PoolRole).meta({ description: 'Role of its endpoints.' }),
  adapter: z.enum(AdapterKind).meta({ description: 'Protocol that its endpoints speak.' }),
  linkBytesPerSecond: integerField(0, Unit.BytesPerSecond, 'Bandwidth of the shared KV link into the pool; 0 when there is none.')
    .default(0),
  endpoints: z.array(endpoint).meta({ description: 'Endpoints of the pool.' })
})

const model = z.strictObject({
  id: modelField('Name that callers send.'),
  prefillPool: idField('Pool that prefills its prompts.'),
  decodePool: idField('Pool that generates its tokens.'),
  version: textField('Version of the weights.'),
  adapters: z.array(textField('Name of an adapter.')).default([]).meta({ description: 'LoRA adapters to load.' }),
  tokensPerPiece: integerField(1, Unit.Tokens, 'Tokens of KV cache in one piece.'),
  kvBytesPerToken: integerField(0, Unit.Bytes, 'KV cache size of one prompt token.'),
  route: idField('Route that defines class, latency targets and deadline.')
})

const route = z.strictObject({
  id: idField('Id of the route.'),
  class: z.enum(RouteClass).meta({ description: 'Priority class; bookings have the highest priority, summaries the lowest.' }),
  idempotent: z.boolean().meta({ description: 'Whether a request may safely run more than once.' }),
  ttftMs: integerField(1, Unit.Milliseconds, 'Target time to the first token or byte.'),
  interTokenMs: integerField(0, Unit.Milliseconds, 'Target time between tokens; 0 for plain services.').default(0),
  deadlineMs: integerField(1, Unit.Milliseconds, 'Time after which the caller no longer needs the response.'),
  hedging: z.boolean().default(false).meta({ description: 'Whether requests may be hedged to reduce tail latency.' })
})

const service = z.strictObject({
  id: idField('Id of the service.'),
  pool: idField('Pool that serves it.'),
  paths: z.array(z.strictObject({
    method: z.enum(HttpMethod).meta({ description: 'HTTP method.' }),
    path: z.string().startsWith('/', 'must start with "/"').meta({ description: 'Path prefix.' }),
    route: idField('Route of its requests.')
  })).meta({ description: 'Paths that it serves.' })
})

const account = z.strictObject({
  id: idField('Id of the account.'),
  keySha256: z.string().regex(KEY_HASH_PATTERN, 'must be a SHA-256 in 64 lower-case hexadecimal digits')
    .meta({ description: 'SHA-256 of its API key.' }),
  weight: positiveNumberField(Unit.None, 'Share of capacity relative to other accounts.').default(1),
  requestsPerSecond: positiveNumberField(Unit.PerSecond, 'Request rate limit across all hosts.'),
  tokensPerSecond: positiveNumberField(Unit.PerSecond, 'Rate limit for prompt and output tokens across all hosts.')
})

/** Schema of the fleet configuration. */
export const fleetConfigSchema = z.strictObject({
  revision: integerField(1, Unit.None, 'Must increase with every change.'),
  pools: z.array(pool).meta({ description: 'Pools of endpoints.' }),
  models: z.array(model).default([]).meta({ description: 'Models.' }),
  services: z.array(service).default([]).meta({ description: 'Plain services.' }),
  routes: z.array(route).meta({ description: 'Routes with their class, latency targets and deadline.' }),
  accounts: z.array(account).meta({ description: 'Accounts of callers.' }),
  anonymousAccount: idField('Account for requests without an API key; such requests are rejected when it is absent.').optional()
})

/** Schema of the published host list. */
export const hostListSchema = z.strictObject({
  revision: integerField(1, Unit.None, 'Must increase with every change.'),
  hosts: z.array(z.strictObject({
    id: idField('Id of the host.'),
    zone: idField('Availability zone.'),
    region: idField('Region.'),
    peerUrl: urlField('Base URL of its peer listener, with an IP address.'),
    state: z.enum(HostState).default(HostState.Live).meta({ description: 'A leaving host gets no new work.' }),
    slot: idField('Name used to place keys by rendezvous hashing; default: the id. A replacement host with the same name does not move the keys of other hosts.').optional()
  })).meta({ description: 'Hosts of the system.' }),
  leavingEndpoints: z.array(idField('Id of an endpoint.')).default([]).meta({ description: 'Endpoints that are leaving.' }),
  coldStart: z.strictObject({
    revision: integerField(1, Unit.None, 'Revision of this list; the declaration has no effect under other revisions.'),
    atMs: integerField(1, Unit.Milliseconds, 'Wall-clock time since the Unix epoch after which no host acts under an earlier list.')
  }).optional().meta({ description: 'Declares that a majority of the hosts of every earlier list has been stopped.' })
})
