import type { BufferedResponse } from '../endpoints/JaymillStreamedResponse.js'
import type { StreamRelay } from './JaymillStreamRelay.js'

/** Progress of one stream through its runs. */
export interface RunProgress {
  readonly relay: StreamRelay
  /** Calls that may have run the request. */
  runs: number
  /** Failure that the last endpoint has responded with. */
  failure: BufferedResponse | undefined
  /** Endpoints and hosts that may still work on the request; none of them gets another call of it. */
  readonly busyIds: Set<string>
}
