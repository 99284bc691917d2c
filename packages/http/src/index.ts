export * from './JaymillConnectionSocket.js'
export * from './JaymillConnector.js'
