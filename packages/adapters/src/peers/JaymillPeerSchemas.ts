import { DocumentKey } from '@jaymill/core'
import { z } from 'zod'
import { MAX_ID_CHARS } from './JaymillPeerConstants.js'

const DIGEST_PATTERN = /^[0-9a-f]{64}$/

/** Id of a host, endpoint, request or account. */
export const idSchema = z.string().min(1).max(MAX_ID_CHARS)

/** Non-negative safe integer. */
export const countSchema = z.number().int().nonnegative()

/** Non-negative finite quantity. */
export const quantitySchema = z.number().nonnegative()

/** SHA-256 in hexadecimal. */
export const digestSchema = z.string().regex(DIGEST_PATTERN)

/** Sender of a message. */
export const senderShape = { from: idSchema, incarnation: countSchema }

/** Version of one published document. */
export const documentVersionSchema = z.object({
  key: z.enum(DocumentKey),
  revision: countSchema,
  digest: digestSchema
})

/** Versions of all published documents. */
export const documentVersionsSchema = z.array(documentVersionSchema).max(Object.keys(DocumentKey).length)
