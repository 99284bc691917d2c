export * from './JaymillSystemClock.js'
export * from './JaymillSystemRandom.js'
