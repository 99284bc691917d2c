import { initTRPC, TRPCError } from '@trpc/server'
import { ErrorKind, RequestError, toProblem } from '@jaymill/core'

const KIND_OF_CODE: Readonly<Partial<Record<TRPCError['code'], ErrorKind>>> = {
  BAD_REQUEST: ErrorKind.BadRequest,
  PARSE_ERROR: ErrorKind.BadRequest,
  NOT_FOUND: ErrorKind.NotFound,
  PAYLOAD_TOO_LARGE: ErrorKind.TooLarge
}

function failureOf (error: TRPCError): unknown {
  const kind = KIND_OF_CODE[error.code]
  return kind === undefined ? error.cause : new RequestError(kind, `peer rejected the message: ${error.code}`)
}

const trpc = initTRPC.create({
  isDev: false,
  errorFormatter: ({ shape, error }) => ({
    ...shape,
    data: { ...shape.data, problem: toProblem(failureOf(error)) }
  })
})

/** Creates routers that send failures as problem documents. */
export const createRouter = trpc.router
/** Creates one typed call. */
export const procedure = trpc.procedure
/** Returns a signal that aborts when the calling host disconnects. */
export const disconnectSignal = (signal: AbortSignal | undefined): AbortSignal => signal ?? new AbortController().signal
