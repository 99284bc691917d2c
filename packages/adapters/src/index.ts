export * from './endpoints/index.js'
export * from './peers/index.js'
export * from './platform/index.js'
