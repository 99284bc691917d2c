import { connect } from 'node:net'
import { randomBytes } from 'node:crypto'

export const newId = () => randomBytes(8).toString('hex')

/**
 * Sends one request on a new connection and reads the answer as RFC 9112 tells: by its length, its chunks or the end of its
 * connection. The result says whether the answer is complete for a client.
 */
export function send ({ host, port, method = 'POST', path, headers = {}, body = '', deadlineMs = 14_000, onBytes = () => {} }) {
  return new Promise(resolve => {
    const id = headers['X-Request-Id'] ?? newId()
    const socket = connect({ host, port })
    const all = { 'X-Request-Id': id, 'X-Deadline-Ms': String(deadlineMs), ...headers }
    const bytes = Buffer.from(body)
    const head = [`${method} ${path} HTTP/1.1`, ...Object.entries(all).map(([name, value]) => `${name}: ${value}`), ...(method === 'GET' ? [] : [`Content-Length: ${bytes.length}`])]
    const startedMs = Date.now()
    let received = Buffer.alloc(0)
    let failure
    let ended = false
    const timer = setTimeout(() => { failure ??= 'deadline'; socket.destroy() }, deadlineMs)
    const state = () => parse(received, method)
    socket.on('connect', () => { socket.write(head.join('\r\n') + '\r\n\r\n'); socket.write(bytes) })
    socket.on('data', data => {
      received = Buffer.concat([received, data])
      const answer = state()
      onBytes(answer)
      if (answer.complete) { ended = true; socket.end() }
    })
    socket.on('end', () => { ended = true; socket.end() })
    socket.on('error', err => { failure ??= err.code })
    socket.on('close', () => {
      clearTimeout(timer)
      const answer = state()
      const regularEnd = ended && failure === undefined
      const complete = answer.complete || (answer.framing === 'connection' && regularEnd)
      resolve({ id, ...answer, complete, failure, regularEnd, ms: Date.now() - startedMs })
    })
  })
}

function parse (bytes, method) {
  const end = bytes.indexOf('\r\n\r\n')
  if (end < 0) return { status: 0, headers: {}, body: '', complete: false, framing: 'none' }
  const [first, ...lines] = bytes.subarray(0, end).toString('latin1').split('\r\n')
  const headers = Object.fromEntries(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))
  const status = Number(first.split(' ')[1])
  const rest = bytes.subarray(end + 4)
  if (method === 'HEAD') return { status, headers, body: '', complete: true, framing: 'none' }
  if (headers['transfer-encoding'] === 'chunked') return { status, headers, ...chunked(rest), framing: 'chunks' }
  if (headers['content-length'] !== undefined) {
    const length = Number(headers['content-length'])
    return { status, headers, body: rest.subarray(0, length).toString('latin1'), complete: rest.length >= length, framing: 'length' }
  }
  return { status, headers, body: rest.toString('latin1'), complete: false, framing: 'connection' }
}

function chunked (bytes) {
  const parts = []
  let at = 0
  for (;;) {
    const lineEnd = bytes.indexOf('\r\n', at)
    if (lineEnd < 0) return { body: parts.join(''), complete: false }
    const size = parseInt(bytes.subarray(at, lineEnd).toString('latin1'), 16)
    if (size === 0) return { body: parts.join(''), complete: true }
    const part = bytes.subarray(lineEnd + 2, lineEnd + 2 + size)
    parts.push(part.toString('latin1'))
    if (part.length < size) return { body: parts.join(''), complete: false }
    at = lineEnd + 2 + size + 2
  }
}
