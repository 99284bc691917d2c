import { PlatformKey } from '@jaymill/core'
import { z } from 'zod'
import { MAX_ID_CHARS } from './JaymillPeerConstants.js'

const DIGEST_CHARS = /^[0-9a-f]{64}$/

/** Id of a host, endpoint, request or booking. */
export const idSchema = z.string().min(1).max(MAX_ID_CHARS)

/** Non-negative safe integer. */
export const countSchema = z.number().int().nonnegative()

/** Non-negative finite quantity. */
export const quantitySchema = z.number().nonnegative()

/** SHA-256 in hexadecimal. */
export const digestSchema = z.string().regex(DIGEST_CHARS)

/** Sender of a message. */
export const senderShape = { from: idSchema, incarnation: countSchema }

/** Mark of one published document. */
export const documentMarkSchema = z.object({
  key: z.enum(PlatformKey),
  revision: countSchema,
  digest: digestSchema
})

/** Marks of all published documents. */
export const documentMarksSchema = z.array(documentMarkSchema).max(Object.keys(PlatformKey).length)
