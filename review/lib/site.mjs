import { spawn } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { request } from 'node:http'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { BOUNDS, deployRole, fillTemplate } from './settings.mjs'
import { Store } from './store.mjs'

export const ROOT = dirname(dirname(dirname(fileURLToPath(import.meta.url))))

/** Loopback addresses of one run; a random part keeps runs apart. */
const NET = `127.${1 + Math.floor(Math.random() * 250)}.${1 + Math.floor(Math.random() * 250)}`

/** Address of a machine. */
export function addressOf (number) {
  return `${NET}.${number}`
}

async function freePort (host) {
  const server = createServer()
  await new Promise((resolve, reject) => server.once('error', reject).listen(0, host, resolve))
  const { port } = server.address()
  await new Promise(resolve => server.close(resolve))
  return port
}

/** One run: the store, the hosts, the record of what was seen. */
export class Site {
  constructor (folder) {
    this.folder = folder
    this.startedMs = Date.now()
    this.lines = []
    this.store = new Store()
    this.hosts = []
    this.directory = mkdtempSync(join(tmpdir(), 'review-'))
  }

  /** Adds a line to the record, with the seconds since the start. */
  note (text) {
    const line = `${((Date.now() - this.startedMs) / 1000).toFixed(3).padStart(8)}  ${text}`
    this.lines.push(line)
  }

  /** Starts the store and the hosts with the command of the deploy file. */
  async start (count, { services, routes, zones = ['zone-a'], storeOf = () => this.store }) {
    await this.store.start(addressOf(250))
    this.config = { version: 3, routes, services, limits: { maxHeaderBytes: 16384, maxBodyBytes: 4194304, headerTimeoutMs: 4000, idleTimeoutMs: 5000 } }
    this.store.put('op/config', this.config)
    const ports = { front: await freePort(addressOf(1)), ready: await freePort(addressOf(1)), control: await freePort(addressOf(1)), inner: await freePort(addressOf(1)) }
    this.ports = ports
    const { command, template } = deployRole(ROOT)
    const seeds = Array.from({ length: Math.min(3, count) }, (_, i) => `${addressOf(1 + i)}:${ports.control}`)
    for (let i = 0; i < count; i += 1) {
      const ip = addressOf(1 + i)
      const zone = zones[i % zones.length]
      const fields = {
        node: `front-${zone}-${i + 1}`,
        role: 'router',
        machineClass: 'front',
        serves: ['front', 'control'],
        ip,
        zone,
        region: 'region',
        internalPorts: [ports.inner, ports.inner + 15],
        seeds,
        bootstrap: true,
        listen: { front: `${ip}:${ports.front}`, ready: `${ip}:${ports.ready}`, control: `${ip}:${ports.control}` },
        bounds: BOUNDS,
        platform: { address: storeOf(i).address, form: 'read' }
      }
      const file = join(this.directory, `host-${i + 1}.jsonc`)
      writeFileSync(file, fillTemplate(template, fields))
      this.hosts.push({ ip, name: fields.node, file, command, process: undefined, ended: undefined, output: '' })
    }
    this.hosts.forEach(host => this.startHost(host))
    await Promise.all(this.hosts.map(host => this.ready(host)))
    this.note(`${count} hosts are ready`)
  }

  startHost (host) {
    const [program, ...words] = host.command
    const env = { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG ?? 'C', JAYMILL_NODE_FILE: host.file }
    const child = spawn(program, words, { cwd: ROOT, env, stdio: ['ignore', 'pipe', 'pipe'] })
    host.process = child
    host.ended = undefined
    const keep = bytes => { host.output += bytes.toString() }
    child.stdout.on('data', keep)
    child.stderr.on('data', keep)
    child.once('exit', (code, signal) => {
      if (host.process !== child) return
      host.ended = { code, signal }
      this.note(`${host.name}: process ended, code ${code}, signal ${signal}`)
    })
  }

  async ready (host, limitMs = 15_000) {
    const endMs = Date.now() + limitMs
    while (Date.now() < endMs) {
      const status = await new Promise(resolve => {
        const req = request({ host: host.ip, port: this.ports.ready, path: '/-/ready', agent: false, timeout: 1000 }, res => { res.resume(); resolve(res.statusCode) })
        req.once('error', () => resolve(0)).once('timeout', () => req.destroy()).end()
      })
      if (status === 200) return
      await sleep(50)
    }
    throw new Error(`${host.name} did not become ready`)
  }

  /** Publishes a runner in the store. */
  publish (runner, more = {}) {
    this.store.put(`servers/${runner.id}`, { ...runner.entry(), ...more })
  }

  async stop () {
    const alive = this.hosts.filter(({ process: child, ended }) => child !== undefined && ended === undefined)
    alive.forEach(host => { host.process.kill('SIGCONT'); host.process.kill('SIGKILL') })
    await Promise.all(alive.map(async ({ process: child }) => { if (child.exitCode === null && child.signalCode === null) await new Promise(resolve => child.once('exit', resolve)) }))
    this.store.close()
    rmSync(this.directory, { recursive: true, force: true })
  }

  /** Log lines of a host that contain a text. */
  logged (host, text) {
    return host.output.split('\n').filter(line => line.includes(text))
  }

  writeRecord () {
    writeFileSync(join(this.folder, 'record.txt'), this.lines.join('\n') + '\n')
  }
}

/** Runs a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase (folder, play) {
  const site = new Site(folder)
  const trouble = process.env.TROUBLE !== '0'
  let code = 2
  const limit = setTimeout(() => { site.note('the case took too long'); site.writeRecord(); site.stop().finally(() => process.exit(2)) }, 110_000)
  try {
    code = await play(site, trouble) ? 1 : 0
  } catch (err) {
    site.note(`the case could not run: ${err.stack}`)
  }
  clearTimeout(limit)
  await site.stop()
  site.note(code === 1 ? 'RESULT: the rule was broken' : code === 0 ? 'RESULT: the rule held' : 'RESULT: not run')
  site.writeRecord()
  console.log(site.lines.slice(-12).join('\n'))
  process.exit(code)
}
