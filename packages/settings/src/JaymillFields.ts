import { isIP } from 'node:net'
import * as z from 'zod'
import { MAX_ID_CHARS } from './constants.js'

/** Unit of a number, as the reference shows it. */
export enum Unit {
  Milliseconds = 'ms',
  Seconds = 's',
  Bytes = 'bytes',
  BytesPerSecond = 'bytes/s',
  PerSecond = '1/s',
  Requests = 'requests',
  Pieces = 'KV pieces',
  Tokens = 'tokens',
  Records = 'records',
  None = ''
}

const ID_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]*$/
const MODEL_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._:/-]*$/
const MAX_PORT = 65_535

/**
 * @param description - Meaning, for the reference.
 * @returns Schema of an identifier.
 */
export const idField = (description: string) => z.string().max(MAX_ID_CHARS)
  .regex(ID_PATTERN, 'must start with a letter or digit and hold only letters, digits, ".", "_" and "-"')
  .meta({ description })

/**
 * @param description - Meaning, for the reference.
 * @returns Schema of a model name, which may also hold ":" and "/".
 */
export const modelField = (description: string) => z.string().max(MAX_ID_CHARS)
  .regex(MODEL_PATTERN, 'must start with a letter or digit and hold only letters, digits, ".", "_", ":", "/" and "-"')
  .meta({ description })

/**
 * @param description - Meaning, for the reference.
 * @returns Schema of a text that is not empty.
 */
export const textField = (description: string) => z.string().min(1, 'must not be empty').meta({ description })

/**
 * @param min - Smallest value.
 * @param unit - Unit of the number.
 * @param description - Meaning, for the reference.
 * @returns Schema of a whole number.
 */
export const countField = (min: number, unit: Unit, description: string) =>
  z.int().min(min).meta({ description, unit })

/**
 * @param unit - Unit of the number.
 * @param description - Meaning, for the reference.
 * @returns Schema of a number above 0.
 */
export const rateField = (unit: Unit, description: string) => z.number().positive().meta({ description, unit })

/**
 * @param description - Meaning, for the reference.
 * @returns Schema of an IP number.
 */
export const addressField = (description: string) => z.string()
  .refine(address => isIP(address) !== 0, 'must be an IP number')
  .meta({ description })

/**
 * @param description - Meaning, for the reference.
 * @returns Schema of a TCP port; 0 lets the system choose.
 */
export const portField = (description: string) => z.int().min(0).max(MAX_PORT).meta({ description })

/**
 * @param description - Meaning, for the reference.
 * @returns Schema of a base URL whose host is an IP number.
 */
export const urlField = (description: string) => z.string().superRefine((text, ctx) => {
  const message = urlMessage(text)
  if (message !== undefined) ctx.addIssue({ code: 'custom', message })
}).meta({ description })

function urlMessage (text: string): string | undefined {
  if (!URL.canParse(text)) return 'must be a URL such as "http://10.0.0.1:8000"'
  const url = new URL(text)
  if (url.protocol !== 'http:' && url.protocol !== 'https:') return 'must start with "http://" or "https://"'
  if (isIP(url.hostname.replace(/^\[|\]$/g, '')) === 0) return 'must hold an IP number, not a name'
  if (url.username !== '' || url.password !== '') return 'must not hold credentials'
  return url.search === '' && url.hash === '' ? undefined : 'must not hold a query or fragment'
}
