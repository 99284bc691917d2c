import { once } from 'node:events'
import { createServer, IncomingMessage, ServerResponse } from 'node:http'
import { AddressInfo } from 'node:net'
import { EngineCall } from '@jaymill/core'

type Script = (req: IncomingMessage, res: ServerResponse) => void

/** Starts an HTTP server on loopback that runs one script for each method and path. */
export async function scriptedServer (
  scripts: Record<string, Script>, signal: AbortSignal
): Promise<{ url: string, seen: string[] }> {
  const seen: string[] = []
  const server = createServer((req, res) => {
    const name = `${req.method} ${req.url}`
    seen.push(name)
    const script = scripts[name]
    if (script !== undefined) script(req, res)
    else res.writeHead(404).end()
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  signal.addEventListener('abort', () => { server.close(); server.closeAllConnections() })
  return { url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, seen }
}

/** Formats a server-sent event with one token, as an engine sends it. */
export function event (id: number, text: string, finish: string | null = null): string {
  return `id: ${id}\ndata: ${JSON.stringify({ choices: [{ text, finish_reason: finish }] })}\n\n`
}

/** Creates an engine call with default parameters. */
export function engineCall (url: string, overrides: Partial<EngineCall> = {}): EngineCall {
  return {
    tag: { requestId: 'r1', attempt: 1, hostId: 'h1', incarnation: 1 },
    endpointId: 'e1',
    url,
    model: 'm',
    prompt: 'wear report',
    generated: '',
    generatedTokens: 0,
    maxTokens: 8,
    priority: 0,
    sampling: {},
    ...overrides
  }
}
