/** A fleet with one model and one booking service. */
export const FLEET = {
  revision: 7,
  pools: [
    { id: 'pre', role: 'prefill', adapter: 'engine', endpoints: [endpoint('p1', 1)] },
    { id: 'dec', role: 'decode', adapter: 'engine', linkBytesPerSecond: 1e9, endpoints: [endpoint('d1', 2), endpoint('d2', 3)] },
    { id: 'desk', role: 'service', adapter: 'http', endpoints: [{ ...endpoint('s1', 4), kvPieces: 0 }] }
  ],
  models: [{ id: 'grind', prefillPool: 'pre', decodePool: 'dec', version: '1', tokensPerPiece: 16, kvBytesPerToken: 1000, route: 'verdict' }],
  services: [{ id: 'desk', pool: 'desk', paths: [{ method: 'POST', path: '/bookings', route: 'booking' }] }],
  routes: [
    { id: 'verdict', class: 'verdict', idempotent: true, ttftMs: 940, interTokenMs: 31, deadlineMs: 30000 },
    { id: 'booking', class: 'booking', idempotent: false, ttftMs: 200, deadlineMs: 5000 }
  ],
  accounts: [{ id: 'a1', keySha256: 'ab'.repeat(32), requestsPerSecond: 10, tokensPerSecond: 1000 }]
}

function endpoint (id: string, octet: number) {
  return { id, url: `http://127.0.0.${octet}:8000`, zone: 'brest', slots: 20, kvPieces: 2000 }
}

/** Settings of one host, with a comment and a trailing comma. */
export const HOST_TEXT = `{
  // entry host of Brest
  "host": { "id": "h1", "zone": "brest", "region": "brittany" },
  "listen": {
    "caller": { "address": "127.0.0.1", "port": 0 },
    "peer": { "address": "127.0.0.1", "port": 0 },
    "admin": { "address": "127.0.0.1", "port": 0 },
    "metrics": { "address": "127.0.0.1", "port": 0 }
  },
  "platform": { "kind": "file", "fleetPath": "fleet.json", "hostsPath": "hosts.json" },
  "credentials": { "peerToken": { "env": "PEER" }, "adminToken": { "file": "/run/admin" } },
}`
