import { fileURLToPath } from 'node:url'
import { changeConfig } from '../lib-2/config-change.mjs'

await changeConfig(fileURLToPath(new URL('record.txt', import.meta.url)), ({ place }) => place === 0)
