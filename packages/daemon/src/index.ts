export * from './JaymillDaemon.js'
export * from './logging/JaymillLogger.js'
