/** Work in progress at one endpoint. */
export interface OutstandingWork {
  readonly requests: number
  /** Prompt tokens to prefill, or KV cache tokens in use, depending on the role of the endpoint. */
  readonly tokens: number
}

/** Work of one host at one endpoint, as reported to other hosts. */
export interface LoadShare extends OutstandingWork {
  readonly endpointId: string
}

const NO_WORK: OutstandingWork = { requests: 0, tokens: 0 }

/** Work at each endpoint: exact for this host, as last reported for the others. */
export class EndpointLoad {
  private readonly _own = new Map<string, OutstandingWork>()
  private readonly _others = new Map<string, readonly LoadShare[]>()
  /** Sum over the other hosts, by endpoint. */
  private readonly _othersTotals = new Map<string, OutstandingWork>()

  /**
   * Adds a request of this host; it counts until the signal aborts.
   *
   * @param endpointId - Endpoint that processes the request.
   * @param tokens - Tokens of the request.
   * @param signal - Aborts when the request ends.
   */
  add (endpointId: string, tokens: number, signal: AbortSignal): void {
    this._change(endpointId, 1, tokens)
    signal.addEventListener('abort', () => this._change(endpointId, -1, -tokens), { once: true })
  }

  /**
   * @returns Work of this host, without idle endpoints.
   */
  own (): readonly LoadShare[] {
    return [...this._own].map(([endpointId, work]) => ({ endpointId, ...work }))
  }

  /**
   * Replaces the work reported by another host.
   *
   * @param hostId - The other host.
   * @param shares - All work of that host.
   */
  update (hostId: string, shares: readonly LoadShare[]): void {
    this.forget(hostId)
    this._others.set(hostId, shares)
    shares.forEach(({ endpointId, requests, tokens }) => addTo(this._othersTotals, endpointId, requests, tokens))
  }

  /**
   * Removes the work of a host that has timed out.
   *
   * @param hostId - The other host.
   */
  forget (hostId: string): void {
    this._others.get(hostId)?.forEach(({ endpointId, requests, tokens }) => addTo(this._othersTotals, endpointId, -requests, -tokens))
    this._others.delete(hostId)
  }

  /**
   * @param endpointId - An endpoint.
   * @returns Work of all hosts at the endpoint.
   */
  at (endpointId: string): OutstandingWork {
    return plus(this._own.get(endpointId) ?? NO_WORK, this._othersTotals.get(endpointId) ?? NO_WORK)
  }

  private _change (endpointId: string, requests: number, tokens: number): void {
    addTo(this._own, endpointId, requests, tokens)
  }
}

/** Adds work to the sum of an endpoint; endpoints without requests are removed. */
function addTo (sums: Map<string, OutstandingWork>, endpointId: string, requests: number, tokens: number): void {
  const work = plus(sums.get(endpointId) ?? NO_WORK, { requests, tokens })
  if (work.requests > 0) sums.set(endpointId, work)
  else sums.delete(endpointId)
}

function plus (a: OutstandingWork, b: OutstandingWork): OutstandingWork {
  return { requests: a.requests + b.requests, tokens: a.tokens + b.tokens }
}
