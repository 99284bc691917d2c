export * from './endpoints/index.js'
