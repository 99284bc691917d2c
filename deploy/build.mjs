import { bundle } from './bundle.mjs'

await bundle('platform/src/main.ts', 'target/jaymill.mjs')
