import { dirname } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { newId, send } from '../lib/client.mjs'
import { eventText, Runner } from '../lib/runners.mjs'
import { PROMPT, routes, services } from '../lib/sheet.mjs'
import { addressOf, runCase } from '../lib/site.mjs'

const HOSTS = 7
const EVENTS = 40
const PAUSE_MS = 100
/** One of so many answers of half of the engines has neither a length nor chunks: 0.05 of them. */
const UNFRAMED = 20
const LOAD_MS = 5_500
const STREAMS_PER_S = 14

const whole = Array.from({ length: EVENTS }, (_, i) => eventText(i + 1)).join('')
const unframedIds = []
let answers = 0

class Engine extends Runner {
  async run (req, res, _body, { id }) {
    if (this.unframes) answers += 1
    const type = { ...this.signed(req), 'Content-Type': 'text/event-stream' }
    if (this.unframes && answers % UNFRAMED === 0) {
      unframedIds.push(id)
      this.site.note(`runner ${this.id} answers ${id} with neither a length nor chunks`)
      res.removeHeader('Transfer-Encoding')
      res.writeHead(200, { ...type, Connection: 'close' })
    } else res.writeHead(200, type)
    for (let i = 1; i <= EVENTS && !res.destroyed; i += 1) {
      res.write(eventText(i))
      await sleep(PAUSE_MS)
    }
    res.end()
  }
}

await runCase(dirname(fileURLToPath(import.meta.url)), async (site, trouble) => {
  const engines = ['prefill', 'prefill', 'decode', 'decode', 'decode', 'decode'].map((stage, i) => new Engine(site, { service: 'writer', stage, host: addressOf(110 + i) }))
  engines.slice(2, 5).forEach(engine => { engine.unframes = true })
  await Promise.all(engines.map(engine => engine.start()))
  await site.start(HOSTS, { services, routes, zones: ['zone-a', 'zone-b', 'zone-c'] })
  engines.forEach(engine => site.publish(engine))
  await sleep(4_000)

  const asking = []
  const hostOf = new Map()
  const ask = async () => {
    const id = newId()
    const host = site.hosts[asking.length % HOSTS]
    hostOf.set(id, host)
    const asked = send({ host: host.ip, port: site.ports.front, path: '/verdict/1', body: 'p'.repeat(5_000), headers: { Host: 'shop.example', 'X-Request-Id': id, ...PROMPT } })
    asking.push(asked)
    const answer = await asked
    answer.success = answer.status >= 200 && answer.status < 300 && answer.complete
    answer.whole = answer.body === whole
    const events = answer.body.split('\n\n').length - 1
    const kind = answer.success ? (answer.whole ? 'whole' : 'CUT SHORT, LOOKS COMPLETE') : (answer.complete ? `failure ${answer.status}` : 'broken off')
    site.note(`${host.name} ${id}: status ${answer.status}, ${events} of ${EVENTS} events, framing ${answer.framing}, ${answer.regularEnd ? 'regular end' : answer.failure ?? 'closed'}: ${kind}`)
  }
  const timer = setInterval(ask, 1_000 / STREAMS_PER_S)
  const endMs = Date.now() + LOAD_MS
  while (unframedIds.length === 0 && Date.now() < endMs) await sleep(10)
  const [id] = unframedIds
  if (id === undefined) throw new Error('no engine has answered without a length')
  await sleep(1_500)
  const host = hostOf.get(id)
  if (trouble) {
    site.note(`${host.name} is killed (SIGKILL), one process of ${HOSTS}, while it forwards the answer to ${id}`)
    host.process.kill('SIGKILL')
  }
  await sleep(Math.max(0, Math.min(500, endMs - Date.now())))
  clearInterval(timer)
  const all = await Promise.all(asking)
  engines.forEach(engine => engine.close())
  const served = all.filter(answer => answer.success && answer.whole).length
  const wrong = all.filter(answer => answer.success && !answer.whole).length
  site.note(`${all.length} streams: ${served} whole, ${all.filter(({ framing }) => framing === 'connection').length} without a length, ${wrong} successes that end early and look complete`)
  if (!trouble && served < all.length) throw new Error('without the kill all streams have to be whole')
  return wrong > 0
})
