export * from './JaymillExitCode.js'
export * from './JaymillProgram.js'
export * from './JaymillTerminal.js'
export { burnTable } from './render/JaymillBurnTable.js'
