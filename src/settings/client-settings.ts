/**
 * Settings that bound what clients can make a process use.
 */
import * as z from 'zod'

/** Largest request body that a single well-behaved caller sends; the total of all bodies must hold at least one. */
const MAXIMUM_BODY_BYTES = 262_144

/** A positive number of things. */
const Quantity = z.number().int().min(1)

/** A duration in milliseconds; below 100 ms an ordinary client on a busy VM would reach it. */
const Milliseconds = z.number().int().min(100).max(600_000)

/** The `[clients]` section, the same in every program. Bounds without a default follow from the size of the VM (`clientLimits`). */
export const ClientSettings = z.object({
  /** Open connections at one listening address. */
  maximumConnections: Quantity.optional(),
  /** Open connections from one remote address. */
  maximumConnectionsPerAddress: Quantity.optional(),
  /** Bytes of all bodies that are being read. */
  maximumTotalBodyBytes: z.number().int().min(MAXIMUM_BODY_BYTES).optional(),
  /** Time for the headers of a request. */
  headersTimeoutMilliseconds: Milliseconds.default(10_000),
  /** Time without a further byte of a body. */
  bodyIdleTimeoutMilliseconds: Milliseconds.default(5_000),
  /** Time for a whole request with its body. */
  requestTimeoutMilliseconds: Milliseconds.default(15_000),
  /** Time in which a client reads nothing of a response. */
  responseReadTimeoutMilliseconds: Milliseconds.default(10_000),
  /** Time for which a connection stays open between two requests. */
  keepAliveTimeoutMilliseconds: Milliseconds.default(65_000),
  /** Requests of one connection without a complete response. */
  maximumPipelinedRequests: Quantity.default(64),
  /** Header fields of a request. */
  maximumHeaderFields: Quantity.default(100),
  /** Fields and elements in a JSON body. */
  maximumJsonValues: Quantity.default(50_000),
  /** Depth of a JSON body. */
  maximumJsonDepth: Quantity.default(16),
  /** Open connections at readiness, and at metrics. */
  maximumProbeConnections: Quantity.default(64),
  /** Time for a whole request at readiness and metrics. */
  probeRequestTimeoutMilliseconds: Milliseconds.default(5_000)
}).strict().superRefine((clients, context) => {
  const { maximumConnections, maximumConnectionsPerAddress, headersTimeoutMilliseconds, requestTimeoutMilliseconds } = clients
  if (headersTimeoutMilliseconds > requestTimeoutMilliseconds) {
    context.addIssue({ code: 'custom', path: ['headersTimeoutMilliseconds'], message: 'must not be above requestTimeoutMilliseconds' })
  }
  if (maximumConnections !== undefined && maximumConnectionsPerAddress !== undefined && maximumConnectionsPerAddress > maximumConnections) {
    context.addIssue({ code: 'custom', path: ['maximumConnectionsPerAddress'], message: 'must not be above maximumConnections' })
  }
})
export type ClientSettings = z.infer<typeof ClientSettings>
