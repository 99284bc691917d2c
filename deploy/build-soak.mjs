import { bundle } from './bundle.mjs'

await bundle('platform/src/__tests__/soak/HostProgram.ts', 'target/soak-host.mjs')
await bundle('platform/src/__tests__/soak/main.ts', 'target/soak.mjs')
await bundle('platform/src/__tests__/fuzz/main.ts', 'target/fuzz.mjs')
