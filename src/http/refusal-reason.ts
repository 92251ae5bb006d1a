/**
 * Why a client was refused or its connection closed.
 */
import * as z from 'zod'

/** The bound that the client reached; the detail of the counter `clients.refused`. */
export const RefusalReason = z.enum(['connections', 'address', 'body-bytes', 'body-size', 'headers', 'slow-headers', 'slow-body', 'slow-reader', 'pipelining', 'json'])
export type RefusalReason = z.infer<typeof RefusalReason>
