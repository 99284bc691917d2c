import { dirname } from 'node:path'
import { setImmediate as nextTurn, setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { newId, send } from '../lib/client.mjs'
import { eventText, Runner } from '../lib/runners.mjs'
import { PROMPT, routes, services } from '../lib/sheet.mjs'
import { addressOf, runCase } from '../lib/site.mjs'

const HOSTS = 3
const EVENTS = 20
/** One of so many answers of the faulty runners of a service is spoiled: 0.05 of them. */
const SPOILED = 20
const SPOIL_MS = 5_500
const TIMES = 3
const PAUSE_MS = 2_000
const PLAIN_PER_S = 40
const STREAMS_PER_S = 14
const TROUBLE = process.env.TROUBLE !== '0'

const head = signed => `HTTP/1.1 200 OK\r\n${Object.entries(signed).map(([name, value]) => `${name}: ${value}\r\n`).join('')}`
const bodyOf = id => `receipt ${id} ${'.'.repeat(700)} total 48.50 EUR, paid`
const wholeStream = Array.from({ length: EVENTS }, (_, i) => eventText(i + 1)).join('')
const answered = {}
let spoiling = false

/** Counts the answers of the faulty runners of a service: every 20th has neither a length nor chunks. */
function isSpoiled (runner) {
  if (!runner.spoils || !spoiling) return false
  answered[runner.service] = (answered[runner.service] ?? 0) + 1
  return answered[runner.service] % SPOILED === 0
}

/** Ends an answer without a length: with a regular end, or, as trouble, with a reset in the middle. */
function cut (runner, socket, id) {
  socket.resetAndDestroy()
  runner.site.note(`runner ${runner.id} has reset the connection in the middle of its answer to ${id}`)
}

class Counter extends Runner {
  async run (req, res, _body, { id }) {
    const body = bodyOf(id)
    const { socket } = res
    const spoiled = isSpoiled(this)
    await sleep(20)
    if (!spoiled) {
      res.writeHead(200, { ...this.signed(req), 'Content-Length': body.length }).end(body)
      return
    }
    // An answer is written in several pieces, as a program that renders it does.
    socket.write(`${head(this.signed(req))}Connection: close\r\n\r\n`)
    await nextTurn()
    socket.write(body.slice(0, 200))
    await nextTurn()
    socket.write(body.slice(200, 300))
    if (TROUBLE) return cut(this, socket, id)
    socket.end(body.slice(300))
  }
}

class Engine extends Runner {
  async run (req, res, _body, { id }) {
    const { socket } = res
    const spoiled = isSpoiled(this)
    if (spoiled) socket.write(`${head(this.signed(req))}Content-Type: text/event-stream\r\nConnection: close\r\n\r\n`)
    else res.writeHead(200, { ...this.signed(req), 'Content-Type': 'text/event-stream' })
    for (let i = 1; i <= EVENTS && !socket.destroyed; i += 1) {
      await sleep(30)
      if (!spoiled) res.write(eventText(i))
      else if (!TROUBLE || i < EVENTS / 2) socket.write(eventText(i))
      else {
        // The last two events before the reset follow each other at once.
        socket.write(eventText(i))
        await nextTurn()
        socket.write(eventText(i + 1))
        return cut(this, socket, id)
      }
    }
    if (spoiled) socket.end()
    else res.end()
  }
}

await runCase(dirname(fileURLToPath(import.meta.url)), async site => {
  const counters = [0, 1, 2].map(i => new Counter(site, { service: 'counter', slots: 6, host: addressOf(100 + i) }))
  const engines = ['prefill', 'prefill', 'decode', 'decode', 'decode', 'decode'].map((stage, i) => new Engine(site, { service: 'writer', stage, host: addressOf(110 + i) }))
  const runners = [...counters, ...engines]
  // 1 of 3 and 3 of 6 runners: shares of 0.33 and 0.5.
  ;[counters[0], engines[2], engines[3], engines[4]].forEach(runner => { runner.spoils = true })
  await Promise.all(runners.map(runner => runner.start()))
  await site.start(HOSTS, { services, routes, zones: ['zone-a', 'zone-b', 'zone-c'] })
  runners.forEach(runner => site.publish(runner))
  await sleep(4_000)

  const answers = []
  const ask = async (path, body, headers, deadlineMs) => {
    const id = newId()
    const host = site.hosts[answers.length % HOSTS]
    const asked = send({ host: host.ip, port: site.ports.front, path, body, deadlineMs, headers: { Host: 'shop.example', 'X-Request-Id': id, ...headers } })
    answers.push(asked)
    const answer = await asked
    const expected = path.startsWith('/charge/') ? bodyOf(id) : wholeStream
    answer.success = answer.status >= 200 && answer.status < 300 && answer.complete
    answer.whole = answer.body === expected
    const kind = answer.success ? (answer.whole ? 'whole' : 'CUT SHORT, LOOKS COMPLETE') : (answer.complete ? `failure ${answer.status}` : 'broken off')
    const end = answer.regularEnd ? 'regular end' : answer.failure ?? 'closed'
    site.note(`${host.name} ${path} ${id}: status ${answer.status}, ${answer.body.length} of ${expected.length} bytes, framing ${answer.framing}, ${end}: ${kind}`)
    if (answer.success && !answer.whole) site.note(`  the log of ${host.name}: ${site.logged(host, id).filter(line => /answered|stream ended/.test(line)).join(' ')}`)
  }
  site.note(`${TIMES} times, for ${SPOIL_MS / 1000} s, 1 of 3 counter runners and 3 of 6 engines give every ${SPOILED}th answer without a length${TROUBLE ? ' and reset its connection in the middle' : ''}`)
  const timers = [
    setInterval(() => ask('/charge/1', 'a booking', {}, 1_500), 1_000 / PLAIN_PER_S),
    setInterval(() => ask('/verdict/1', 'p'.repeat(5_000), PROMPT, 14_000), 1_000 / STREAMS_PER_S)
  ]
  for (let i = 0; i < TIMES; i += 1) {
    spoiling = true
    await sleep(SPOIL_MS)
    spoiling = false
    await sleep(PAUSE_MS)
  }
  timers.forEach(timer => clearInterval(timer))
  const all = await Promise.all(answers)
  await sleep(100)
  runners.forEach(runner => runner.close())
  const whole = all.filter(answer => answer.success && answer.whole).length
  const wrong = all.filter(answer => answer.success && !answer.whole)
  const unframed = all.filter(({ framing }) => framing === 'connection').length
  site.note(`${all.length} requests: ${whole} whole answers, ${unframed} without a length, ${wrong.length} successes that end early and look complete`)
  if (!TROUBLE && (unframed === 0 || wrong.length > 0)) throw new Error('without resets the answers without a length have to be whole')
  return wrong.length > 0
})
