export * from './JaymillSlotBooker.js'
