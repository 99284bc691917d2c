import { fileURLToPath } from 'node:url'
import { changeConfig } from '../lib-2/config-change.mjs'

const TROUBLE = process.env.TROUBLE !== '0'

await changeConfig(fileURLToPath(new URL('record.txt', import.meta.url)), ({ place }) => TROUBLE && place === 0)
