import { EventEmitter } from 'node:events'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { Readable } from 'node:stream'
import { ErrorKind, RanState } from '@jaymill/core'
import { parseHostSettings } from '@jaymill/settings'
import { expect, test } from 'vitest'
import { readBody } from '../../callers/JaymillBody.js'
import { BodyBudget } from '../../callers/JaymillBodyBudget.js'

const listener = { address: '127.0.0.1', port: 0 }
const settings = parseHostSettings(JSON.stringify({
  host: { id: 'h', zone: 'z', region: 'r' },
  listen: { caller: listener, peer: listener, admin: listener, metrics: listener },
  platform: { kind: 'file', fleetPath: 'f', hostsPath: 'h' },
  credentials: { peerToken: { value: 'p' }, adminToken: { value: 'a' } },
  limits: { bodyBytes: 60 }
}), 'host')
const request = (bytes: number) => Readable.from([Buffer.alloc(bytes)]) as unknown as IncomingMessage
const response = () => new EventEmitter() as unknown as ServerResponse

test('limits the total size of all bodies and releases the bytes of a body when its response closes', async () => {
  const ctx = { settings, bodies: new BodyBudget(100) }
  const first = response()
  await readBody(request(60), first, ctx)
  await expect(readBody(request(50), response(), ctx)).rejects.toMatchObject({ kind: ErrorKind.Overloaded, ran: RanState.No })
  first.emit('close')
  expect((await readBody(request(50), response(), ctx)).length).toBe(50)
  expect(ctx.bodies.heldBytes).toBe(50)
})

test('limits the size of a single body', async () => {
  await expect(readBody(request(61), response(), { settings, bodies: new BodyBudget(100) })).rejects.toMatchObject({ kind: ErrorKind.TooLarge })
})
