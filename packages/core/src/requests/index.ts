export * from './JaymillBodyFraming.js'
export * from './JaymillRequestLog.js'
export * from './JaymillRequestMachine.js'
export * from './JaymillRequestRecord.js'
