import { Agent, request } from 'undici'
import { fromProblem } from '@jaymill/core'
import { CliError } from './JaymillCliError.js'
import { ExitCode } from './JaymillExitCode.js'

/** Connection options of an admin client. */
export interface AdminOptions {
  /** Base URL of the admin listener. */
  readonly url: string
  readonly token: string
  /** CA certificates for verifying the listener, PEM; the system's when absent. */
  readonly ca?: string
  /** Timeout of one request, in milliseconds. */
  readonly timeoutMs: number
}

const EXIT_CODE_OF_STATUS: Readonly<Record<number, ExitCode>> = { 401: ExitCode.Unauthorized, 404: ExitCode.NotFound }

type Method = 'GET' | 'POST' | 'DELETE'

/** Client of the admin API of one host. */
export class AdminClient {
  /** Base URL of the host. */
  readonly url: string
  private readonly _options: AdminOptions
  private readonly _agent: Agent

  /**
   * @param options - Connection options.
   */
  constructor (options: AdminOptions) {
    this.url = options.url.replace(/\/+$/, '')
    this._options = options
    this._agent = new Agent({ connect: { ca: options.ca, timeout: options.timeoutMs }, keepAliveTimeout: 1 })
  }

  /**
   * Reads a resource.
   *
   * @param path - Path and query.
   * @returns Parsed JSON.
   * @throws CliError with an exit code for the kind of failure.
   */
  async get (path: string): Promise<unknown> {
    return await this._call('GET', path)
  }

  /**
   * Sends a command.
   *
   * @param path - Path.
   * @returns Parsed JSON.
   * @throws CliError with an exit code for the kind of failure.
   */
  async post (path: string): Promise<unknown> {
    return await this._call('POST', path)
  }

  /**
   * Deletes a resource.
   *
   * @param path - Path.
   * @returns Parsed JSON.
   * @throws CliError with an exit code for the kind of failure.
   */
  async delete (path: string): Promise<unknown> {
    return await this._call('DELETE', path)
  }

  private async _call (method: Method, path: string): Promise<unknown> {
    const { status, text } = await this._send(method, path)
    const body = parseJson(text)
    if (status === 200 && body !== undefined) return body
    const detail = fromProblem(body)?.message ?? `status ${status}`
    throw new CliError(EXIT_CODE_OF_STATUS[status] ?? ExitCode.Refused, `${this.url}: ${detail}`)
  }

  private async _send (method: Method, path: string): Promise<{ status: number, text: string }> {
    try {
      const res = await request(`${this.url}${path}`, {
        method,
        dispatcher: this._agent,
        headers: { authorization: `Bearer ${this._options.token}` },
        signal: AbortSignal.timeout(this._options.timeoutMs)
      })
      return { status: res.statusCode, text: await res.body.text() }
    } catch (err) {
      throw new CliError(ExitCode.Unreachable, `${this.url} does not answer: ${reasonOf(err)}`, err)
    }
  }
}

function reasonOf (err: unknown): string {
  const { code, name, message } = err as NodeJS.ErrnoException
  return name === 'TimeoutError' ? 'timeout' : code ?? message
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
