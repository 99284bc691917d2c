export * from './JaymillBurnRecorder.js'
export * from './JaymillBurnReport.js'
export * from './JaymillServiceLevel.js'
export { ERROR_BUDGET_SHARE, WINDOWS_MS } from './constants.js'
