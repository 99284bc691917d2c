#!/usr/bin/env node
import { runProgram } from './JaymillProgram.js'
import { ProcessTerminal } from './JaymillTerminal.js'

const args = process.argv.slice(2)
process.exitCode = await runProgram(args, new ProcessTerminal())
