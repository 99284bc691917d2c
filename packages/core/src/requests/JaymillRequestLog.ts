import { type DecisionListener, RequestAttributes, RequestRecord } from './JaymillRequestRecord.js'

/** Records of the requests on this host. Above the capacity, the oldest ended ones are dropped. */
export class RequestLog {
  private readonly _records = new Map<string, RequestRecord>()
  private readonly _capacity: number
  private readonly _onDecision: DecisionListener | undefined

  /**
   * @param capacity - Number of records above which ended ones are dropped.
   * @param onDecision - Called for each decision about any request.
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
   * Creates the record of a request.
   *
   * @param attributes - Attributes known on arrival.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns The record.
   */
  open (attributes: RequestAttributes, nowMs: number): RequestRecord {
    const record = new RequestRecord(attributes, nowMs, this._onDecision)
    this._records.delete(attributes.requestId)
    this._records.set(attributes.requestId, record)
    this._trim()
    return record
  }

  /**
   * Finds the record of a request.
   *
   * @param requestId - Id of the request.
   * @returns Its record, or `undefined` if it is unknown or has been dropped.
   */
  find (requestId: string): RequestRecord | undefined {
    return this._records.get(requestId)
  }

  /**
   * Lists the records.
   *
   * @returns All records, oldest first.
   */
  all (): RequestRecord[] {
    return [...this._records.values()]
  }

  private _trim (): void {
    if (this._records.size <= this._capacity) return
    const oldest = this.all().find(record => record.ended)
    if (oldest !== undefined) this._records.delete(oldest.attributes.requestId)
  }
}
