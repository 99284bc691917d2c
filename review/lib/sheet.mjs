/** Services and routes like those of the deployment kerbrat-hq, in its own shape of names. */
export const services = [
  { name: 'counter', healthPath: '/health', maxConnections: 100 },
  { name: 'writer', healthPath: '/health', maxConnections: 360, engine: { slots: 64, kvTokens: 64655, handleTtlS: 0.5, holdMs: 2000, switchS: 6 } }
]

const counter = { host: 'shop.example', timeoutMs: 800, targetLatencyMs: 150, priority: 2, service: 'counter' }
const writer = { host: 'shop.example', kind: 'streaming', timeoutMs: 14000, targetLatencyMs: 900, gapAimMs: 300, priority: 1, service: 'writer', sticky: true }

export const routes = [
  { ...counter, name: 'charge', prefix: '/charge/', kind: 'unsafe', maxAttempts: 1 },
  { ...counter, name: 'lookup', prefix: '/lookup/', kind: 'safe', maxAttempts: 2 },
  { ...writer, name: 'verdict', prefix: '/verdict/', maxAttempts: 1, resumable: false },
  { ...writer, name: 'plan', prefix: '/plan/', maxAttempts: 2, resumable: true }
]

/** Headers of a prompt. */
export const PROMPT = { 'X-Model': 'm', 'X-Token-Count': '5200,70', 'X-Prompt-Prefix': '5c1e07a2:200,91bd3f06:5000' }
