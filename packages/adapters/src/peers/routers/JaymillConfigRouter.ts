import { ConfigHandler, DocumentQuestion, HighWaterAnswer, HighWaterQuestion, PlatformKey, PublishedDocument } from '@jaymill/core'
import { z } from 'zod'
import { countSchema, digestSchema, documentMarksSchema, senderShape } from '../JaymillPeerSchemas.js'
import { callerSignal, createRouter, procedure } from '../JaymillPeerTrpc.js'

/** Check of a high-water question. */
export const highWaterQuestionSchema: z.ZodType<HighWaterQuestion> = z.object(senderShape)

/** Check of a high-water answer. */
export const highWaterAnswerSchema: z.ZodType<HighWaterAnswer> = z.object({
  ...senderShape,
  documents: documentMarksSchema
})

/** Check of a question for a document. */
export const documentQuestionSchema: z.ZodType<DocumentQuestion> = z.object({
  key: z.enum(PlatformKey),
  revision: countSchema
})

/** Check of a document. */
export const publishedDocumentSchema: z.ZodType<PublishedDocument | null> = z.object({
  key: z.enum(PlatformKey),
  revision: countSchema,
  digest: digestSchema,
  text: z.string()
}).nullable()

/**
 * @param handler - Passes documents on.
 * @returns Router of the configuration calls.
 */
export function createConfigRouter (handler: ConfigHandler) {
  return createRouter({
    highWater: procedure
      .input(highWaterQuestionSchema)
      .mutation(({ input, signal }) => handler.highWater(input, callerSignal(signal))),
    document: procedure
      .input(documentQuestionSchema)
      .mutation(({ input, signal }) => handler.document(input, callerSignal(signal)))
  })
}
