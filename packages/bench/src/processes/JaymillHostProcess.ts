import { ChildProcess, spawn } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import type { DaemonUrls } from '@jaymill/daemon'

const DAEMON_MAIN = join(createRequire(import.meta.url).resolve('@jaymill/daemon'), '../../dist/main.js')
const MS_PER_TICK = 10
const KIB = 1_024
/** Fields of /proc/PID/stat after the command name (proc(5)): user and system time. */
const USER_TIME_FIELD = 11
const SYSTEM_TIME_FIELD = 12

/** Compiled daemon that runs in its own process. */
export class HostProcess {
  readonly id: string
  private readonly _child: ChildProcess
  private readonly _dir: string
  private _urls: DaemonUrls | undefined

  /**
   * Starts the daemon.
   *
   * @param id - Id of the host.
   * @param settings - Host settings document.
   * @param signal - Kills the process.
   */
  constructor (id: string, settings: object, signal: AbortSignal) {
    this.id = id
    this._dir = mkdtempSync(join(tmpdir(), 'jaymill-'))
    const file = join(this._dir, 'host.jsonc')
    writeFileSync(file, JSON.stringify(settings))
    this._child = spawn(process.execPath, [DAEMON_MAIN, file], { stdio: ['ignore', 'pipe', 'inherit'] })
    signal.addEventListener('abort', () => this.signal('SIGKILL'), { once: true })
    this._child.once('exit', () => rmSync(this._dir, { recursive: true, force: true }))
  }

  /**
   * Waits until the daemon listens.
   *
   * @returns Its addresses.
   */
  async listening (): Promise<DaemonUrls> {
    if (this._urls !== undefined) return this._urls
    const lines = createInterface({ input: this._child.stdout ?? process.stdin })
    const [line] = await once(lines, 'line') as [string]
    this._urls = JSON.parse(line) as DaemonUrls
    return this._urls
  }

  /**
   * Sends a signal to the process.
   *
   * @param name - Name of the signal, such as `SIGSTOP`.
   */
  signal (name: NodeJS.Signals): void {
    this._child.kill(name)
  }

  /**
   * Waits until the process has ended.
   *
   * @returns Exit code; `null` when a signal ended the process.
   */
  async exited (): Promise<number | null> {
    if (this._child.exitCode !== null || this._child.signalCode !== null) return this._child.exitCode
    const [code] = await once(this._child, 'exit') as [number | null]
    return code
  }

  /**
   * Reads the processor time of the process.
   *
   * @returns Processor time used so far, in milliseconds.
   */
  cpuMs (): number {
    const stat = readFileSync(`/proc/${this._child.pid ?? 0}/stat`, 'utf8')
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
    return (Number(fields[USER_TIME_FIELD]) + Number(fields[SYSTEM_TIME_FIELD])) * MS_PER_TICK
  }

  /**
   * Reads the memory use of the process.
   *
   * @returns Resident memory, in bytes.
   */
  residentBytes (): number {
    const status = readFileSync(`/proc/${this._child.pid ?? 0}/status`, 'utf8')
    return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) * KIB
  }
}
