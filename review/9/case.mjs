import { fileURLToPath } from 'node:url'
import { changeConfig } from '../lib-2/config-change.mjs'

const TROUBLE = process.env.TROUBLE !== '0'

/** Machines of one zone that lose their power: 4 of 27 are a share of 0.148. */
const LOST_MACHINES = 4

await changeConfig(fileURLToPath(new URL('record.txt', import.meta.url)), ({ zoneNumber, place }) => TROUBLE && zoneNumber === 0 && place < LOST_MACHINES)
