export * from './JaymillReservationHandler.js'
export * from './JaymillConfigHandler.js'
export * from './JaymillHeartbeatHandler.js'
export * from './JaymillLeaseHandler.js'
