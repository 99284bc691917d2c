import {
  ErrorKind, Heartbeat, HeartbeatHandler, HighWaterAnswer, ConfigHandler, PublishedDocument, RequestError
} from '@jaymill/core'

function refuse (): never {
  throw new RequestError(ErrorKind.NotReady, 'this host does not take such calls')
}

/** Refuses questions about published documents. */
export class RefusingConfigHandler extends ConfigHandler {
  /** {@inheritDoc @jaymill/core#ConfigHandler.highWater} */
  async highWater (): Promise<HighWaterAnswer> {
    return refuse()
  }

  /** {@inheritDoc @jaymill/core#ConfigHandler.document} */
  async document (): Promise<PublishedDocument | null> {
    return refuse()
  }
}

/** Refuses heartbeats. */
export class RefusingHeartbeatHandler extends HeartbeatHandler {
  /** {@inheritDoc @jaymill/core#HeartbeatHandler.heartbeat} */
  async heartbeat (): Promise<Heartbeat> {
    return refuse()
  }
}
