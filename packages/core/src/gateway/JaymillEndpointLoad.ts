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
  private readonly _freedListeners: Array<() => void> = []
  /** Sum over the other hosts, by endpoint. */
  private readonly _othersTotals = new Map<string, OutstandingWork>()

  /**
   * Adds a listener for work that other hosts have completed.
   *
   * @param listener - Called after a report that shows less work at some endpoint than the one before.
   */
  onFreed (listener: () => void): void {
    this._freedListeners.push(listener)
  }

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
   * Adds up the work of this host and of some reports.
   *
   * @param sources - Sources of the reports.
   * @returns Their work, without idle endpoints.
   */
  sum (sources: readonly string[]): readonly LoadShare[] {
    const totals = new Map(this._own)
    sources.forEach(source => {
      this._others.get(source)?.forEach(({ endpointId, requests, tokens }) => addTo(totals, endpointId, requests, tokens))
    })
    return [...totals].map(([endpointId, work]) => ({ endpointId, ...work }))
  }

  /**
   * Replaces the work reported by another host, or by a relay for several hosts.
   *
   * @param hostId - Source of the report.
   * @param shares - All work that it reports.
   */
  update (hostId: string, shares: readonly LoadShare[]): void {
    const before = this._others.get(hostId) ?? []
    this.forget(hostId)
    this._others.set(hostId, shares)
    shares.forEach(({ endpointId, requests, tokens }) => addTo(this._othersTotals, endpointId, requests, tokens))
    if (hasLess(shares, before)) this._freedListeners.forEach(listener => listener())
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
    return plus(this.ownAt(endpointId), this._othersTotals.get(endpointId) ?? NO_WORK)
  }

  /**
   * @param endpointId - An endpoint.
   * @returns Work of this host at the endpoint.
   */
  ownAt (endpointId: string): OutstandingWork {
    return this._own.get(endpointId) ?? NO_WORK
  }

  private _change (endpointId: string, requests: number, tokens: number): void {
    addTo(this._own, endpointId, requests, tokens)
  }
}

/** Whether a report shows less work at some endpoint than the one before. */
function hasLess (shares: readonly LoadShare[], before: readonly LoadShare[]): boolean {
  return before.some(({ endpointId, tokens }) => (shares.find(share => share.endpointId === endpointId)?.tokens ?? 0) < tokens)
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
