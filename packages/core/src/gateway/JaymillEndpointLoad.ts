/** Work that is under way at one endpoint. */
export interface Outstanding {
  readonly requests: number
  /** Prompt tokens to be read, or tokens of KV cache in use, by the stage of the endpoint. */
  readonly tokens: number
}

/** Work of one endpoint as a host tells it to others. */
export interface LoadShare extends Outstanding {
  readonly endpointId: string
}

const NOTHING: Outstanding = { requests: 0, tokens: 0 }

/** Work at each endpoint: exact for this host, as last told for the others. */
export class EndpointLoad {
  private readonly _own = new Map<string, Outstanding>()
  private readonly _others = new Map<string, readonly LoadShare[]>()
  /** Sum over the other hosts. */
  private readonly _othersAt = new Map<string, Outstanding>()

  /**
   * Counts work until its signal aborts.
   *
   * @param endpointId - Endpoint that does the work.
   * @param tokens - Its tokens.
   * @param signal - Ends the work when it aborts.
   */
  add (endpointId: string, tokens: number, signal: AbortSignal): void {
    this._change(endpointId, 1, tokens)
    signal.addEventListener('abort', () => this._change(endpointId, -1, -tokens), { once: true })
  }

  /**
   * @returns This host's own work, without idle endpoints.
   */
  own (): readonly LoadShare[] {
    return [...this._own].map(([endpointId, work]) => ({ endpointId, ...work }))
  }

  /**
   * Replaces what another host has told.
   *
   * @param hostId - The other host.
   * @param shares - All of its work.
   */
  adopt (hostId: string, shares: readonly LoadShare[]): void {
    this.forget(hostId)
    this._others.set(hostId, shares)
    shares.forEach(({ endpointId, requests, tokens }) => addTo(this._othersAt, endpointId, requests, tokens))
  }

  /**
   * Forgets a host that doesn't answer any more.
   *
   * @param hostId - The other host.
   */
  forget (hostId: string): void {
    this._others.get(hostId)?.forEach(({ endpointId, requests, tokens }) => addTo(this._othersAt, endpointId, -requests, -tokens))
    this._others.delete(hostId)
  }

  /**
   * @param endpointId - An endpoint.
   * @returns Work of all hosts there.
   */
  at (endpointId: string): Outstanding {
    return plus(this._own.get(endpointId) ?? NOTHING, this._othersAt.get(endpointId) ?? NOTHING)
  }

  private _change (endpointId: string, requests: number, tokens: number): void {
    addTo(this._own, endpointId, requests, tokens)
  }
}

/** Adds work to a sum; endpoints without work are left out. */
function addTo (sums: Map<string, Outstanding>, endpointId: string, requests: number, tokens: number): void {
  const work = plus(sums.get(endpointId) ?? NOTHING, { requests, tokens })
  if (work.requests > 0) sums.set(endpointId, work)
  else sums.delete(endpointId)
}

function plus (a: Outstanding, b: Outstanding): Outstanding {
  return { requests: a.requests + b.requests, tokens: a.tokens + b.tokens }
}
