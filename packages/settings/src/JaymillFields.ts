import { isIP } from 'node:net'
import * as z from 'zod'
import { MAX_ID_CHARS } from './constants.js'

/** Unit of a number, as the configuration reference shows it. */
export enum Unit {
  Milliseconds = 'ms',
  Seconds = 's',
  Bytes = 'bytes',
  Megabytes = 'MB',
  BytesPerSecond = 'bytes/s',
  PerSecond = '1/s',
  Requests = 'requests',
  Pieces = 'KV pieces',
  Tokens = 'tokens',
  Records = 'records',
  Descriptors = 'descriptors',
  None = ''
}

const ID_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]*$/
const MODEL_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._:/-]*$/
const MAX_PORT = 65_535

/**
 * Creates the schema of an identifier.
 *
 * @param description - Description for the configuration reference.
 * @returns The schema.
 */
export const idField = (description: string) => z.string().max(MAX_ID_CHARS)
  .regex(ID_PATTERN, 'must start with a letter or digit and contain only letters, digits, ".", "_" and "-"')
  .meta({ description })

/**
 * Creates the schema of a model name, which may also contain ":" and "/".
 *
 * @param description - Description for the configuration reference.
 * @returns The schema.
 */
export const modelField = (description: string) => z.string().max(MAX_ID_CHARS)
  .regex(MODEL_PATTERN, 'must start with a letter or digit and contain only letters, digits, ".", "_", ":", "/" and "-"')
  .meta({ description })

/**
 * Creates the schema of a non-empty string.
 *
 * @param description - Description for the configuration reference.
 * @returns The schema.
 */
export const textField = (description: string) => z.string().min(1, 'must not be empty').meta({ description })

/**
 * Creates the schema of an integer.
 *
 * @param min - Minimum value.
 * @param unit - Unit of the number.
 * @param description - Description for the configuration reference.
 * @returns The schema.
 */
export const integerField = (min: number, unit: Unit, description: string) =>
  z.int().min(min).meta({ description, unit })

/**
 * Creates the schema of a number above 0.
 *
 * @param unit - Unit of the number.
 * @param description - Description for the configuration reference.
 * @returns The schema.
 */
export const positiveNumberField = (unit: Unit, description: string) => z.number().positive().meta({ description, unit })

/**
 * Creates the schema of a number that may be 0 or a fraction.
 *
 * @param unit - Unit of the number.
 * @param description - Description for the configuration reference.
 * @returns The schema.
 */
export const nonNegativeNumberField = (unit: Unit, description: string) => z.number().min(0).meta({ description, unit })

/**
 * Creates the schema of an IP address.
 *
 * @param description - Description for the configuration reference.
 * @returns The schema.
 */
export const addressField = (description: string) => z.string()
  .refine(address => isIP(address) !== 0, 'must be an IP address')
  .meta({ description })

/**
 * Creates the schema of a TCP port; 0 lets the operating system choose a free one.
 *
 * @param description - Description for the configuration reference.
 * @returns The schema.
 */
export const portField = (description: string) => z.int().min(0).max(MAX_PORT).meta({ description })

/**
 * Creates the schema of a base URL whose host is an IP address.
 *
 * @param description - Description for the configuration reference.
 * @returns The schema.
 */
export const urlField = (description: string) => z.string().superRefine((text, ctx) => {
  const message = urlMessage(text)
  if (message !== undefined) ctx.addIssue({ code: 'custom', message })
}).meta({ description })

function urlMessage (text: string): string | undefined {
  if (!URL.canParse(text)) return 'must be a URL such as "http://10.0.0.1:8000"'
  const url = new URL(text)
  if (url.protocol !== 'http:' && url.protocol !== 'https:') return 'must start with "http://" or "https://"'
  if (isIP(url.hostname.replace(/^\[|\]$/g, '')) === 0) return 'must contain an IP address, not a host name'
  if (url.username !== '' || url.password !== '') return 'must not contain credentials'
  return url.search === '' && url.hash === '' ? undefined : 'must not contain a query or fragment'
}
