import { buildConnector, errors, type Dispatcher } from 'undici'

/**
 * Fails responses that end because their connection was reset. undici reports a body without a length and without chunks as
 * complete then, like one whose connection ends regularly.
 */
export class ResetTracker {
  private _resetting = false

  /** Fails a response instead of ending it while a connection is being reset. */
  readonly interceptor: Dispatcher.DispatcherComposeInterceptor = dispatch =>
    (options, handler) => dispatch(options, this._failWhenReset(handler))

  /**
   * Creates a connector for undici whose connections are tracked.
   *
   * @param timeoutMs - Time to open a connection, in milliseconds.
   * @returns The connector.
   */
  connector (timeoutMs: number): buildConnector.connector {
    const connect = buildConnector({ timeout: timeoutMs })
    return (options, done) => connect(options, (...result) => {
      result[1]?.prependListener('error', () => this._markResetting())
      done(...result)
    })
  }

  /** Lasts while the other listeners of the failed connection run; undici ends its response in one of them. */
  private _markResetting (): void {
    this._resetting = true
    process.nextTick(() => { this._resetting = false })
  }

  private _failWhenReset (handler: Dispatcher.DispatchHandler): Dispatcher.DispatchHandler {
    const end = handler.onResponseEnd?.bind(handler)
    const onResponseEnd: Dispatcher.DispatchHandler['onResponseEnd'] = (controller, trailers) => {
      if (!this._resetting) return end?.(controller, trailers)
      handler.onResponseError?.(controller, new errors.SocketError('the connection was reset while the body was being received'))
    }
    return Object.assign(handler, { onResponseEnd })
  }
}
