import {
  ConfigHandler, DocumentKey, DocumentRequest, HighWaterRequest, HighWaterResponse, PublishedDocument
} from '@jaymill/core'
import { z } from 'zod'
import { countSchema, digestSchema, documentVersionsSchema, senderShape } from '../JaymillPeerSchemas.js'
import { createRouter, disconnectSignal, procedure } from '../JaymillPeerTrpc.js'

/** Schema of a high-water request. */
export const highWaterRequestSchema: z.ZodType<HighWaterRequest> = z.object(senderShape)

/** Schema of a high-water response. */
export const highWaterResponseSchema: z.ZodType<HighWaterResponse> = z.object({
  ...senderShape,
  documents: documentVersionsSchema
})

/** Schema of a request for a document. */
export const documentRequestSchema: z.ZodType<DocumentRequest> = z.object({
  key: z.enum(DocumentKey),
  revision: countSchema
})

/** Schema of a document. */
export const publishedDocumentSchema: z.ZodType<PublishedDocument | null> = z.object({
  key: z.enum(DocumentKey),
  revision: countSchema,
  digest: digestSchema,
  text: z.string()
}).nullable()

/**
 * Creates the router of the configuration calls.
 *
 * @param handler - Serves document versions and documents.
 * @returns Router of the configuration calls.
 */
export function createConfigRouter (handler: ConfigHandler) {
  return createRouter({
    highWater: procedure
      .input(highWaterRequestSchema)
      .mutation(({ input, signal }) => handler.highWater(input, disconnectSignal(signal))),
    document: procedure
      .input(documentRequestSchema)
      .mutation(({ input, signal }) => handler.document(input, disconnectSignal(signal)))
  })
}
