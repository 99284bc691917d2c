import { type DecisionListener, RequestFacts, RequestRecord } from './JaymillRequestRecord.js'

/** Requests that this host knows, bounded: the oldest ended ones are dropped first. */
export class RequestLog {
  private readonly _records = new Map<string, RequestRecord>()
  private readonly _capacity: number
  private readonly _onDecision: DecisionListener | undefined

  /**
   * @param capacity - Most records to be kept.
   * @param onDecision - Told of each decision about any request.
   */
  constructor (capacity: number, onDecision?: DecisionListener) {
    this._capacity = capacity
    this._onDecision = onDecision
  }

  /** Requests that have not ended. */
  get running (): RequestRecord[] {
    return this.all().filter(record => !record.ended)
  }

  /**
   * Starts a record.
   *
   * @param facts - What is known on arrival.
   * @param now - Monotonic time in milliseconds.
   * @returns The record.
   */
  open (facts: RequestFacts, now: number): RequestRecord {
    const record = new RequestRecord(facts, now, this._onDecision)
    this._records.delete(facts.requestId)
    this._records.set(facts.requestId, record)
    this._trim()
    return record
  }

  /**
   * @param requestId - Id of the request.
   * @returns Its record, if it is still kept.
   */
  find (requestId: string): RequestRecord | undefined {
    return this._records.get(requestId)
  }

  /**
   * @returns All kept records, oldest first.
   */
  all (): RequestRecord[] {
    return [...this._records.values()]
  }

  private _trim (): void {
    if (this._records.size <= this._capacity) return
    const oldest = this.all().find(record => record.ended)
    if (oldest !== undefined) this._records.delete(oldest.facts.requestId)
  }
}
