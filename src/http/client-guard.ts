/**
 * The bounds on the clients of one process, for all its listening addresses.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Clock } from '../supervision/clock.js'
import { BodyBudget } from './body-budget.js'
import { BodyStartReader } from './body-start-reader.js'
import type { ClientBounds } from './client-bounds.js'
import type { ClientRefusals } from './client-refusals.js'
import { closeUnreadRequest } from './close-unread-request.js'
import { ConnectionTable } from './connection-table.js'
import type { EarlyRefusals } from './early-refusals.js'
import { EmptyRefusals } from './empty-refusals.js'
import type { EvictionPolicy } from './eviction-policy.js'
import { LimitedServer } from './limited-server.js'
import type { ListenerLimits } from './listener-limits.js'
import { RequestBodyReader } from './request-body-reader.js'

/** Pending requests of a connection at readiness and metrics: with 64 of them, unread metrics of 64 connections would take 80 MB. */
const MAXIMUM_PIPELINED_PROBES = 8

/** Unidentified connections at the address for peers; half of what it takes, so that the others are left to peers that are connected. */
const MAXIMUM_UNIDENTIFIED_PEERS = 256

/** Handles a request that is within the bounds. */
type Handler = (request: IncomingMessage, response: ServerResponse) => void

/** Creates servers whose clients are bounded, and enforces the bounds that depend on time. */
export class ClientGuard {
  private readonly _bodies: BodyBudget
  private readonly _tables: ConnectionTable[] = []

  constructor (readonly limits: ClientBounds, private readonly _policy: EvictionPolicy, private readonly _refusals: ClientRefusals, private readonly _clock: Clock) {
    this._bodies = new BodyBudget(limits, _policy, _refusals, _clock)
  }

  /** Creates a server for callers or operators. */
  createServer (handle: Handler, documents: EarlyRefusals = new EmptyRefusals()): Server {
    return this._create({ ...this.limits, acceptsBodies: true }, handle, documents)
  }

  /** Creates a server whose request tasks limit the time for a body: while a request waits, its body may remain unread, and the client isn't late. */
  createStreamingServer (handle: Handler, documents: EarlyRefusals): Server {
    return this._create({ ...this.limits, requestTimeoutMilliseconds: 0, acceptsBodies: true }, handle, documents)
  }

  /** Creates a server for probes of readiness or metrics. */
  createProbeServer (handle: Handler): Server {
    const { maximumProbeConnections, probeRequestTimeoutMilliseconds } = this.limits
    return this._create({
      ...this.limits,
      maximumConnections: maximumProbeConnections,
      // Probes may all come from one address.
      maximumConnectionsPerAddress: maximumProbeConnections,
      headersTimeoutMilliseconds: probeRequestTimeoutMilliseconds,
      requestTimeoutMilliseconds: probeRequestTimeoutMilliseconds,
      maximumPipelinedRequests: Math.min(MAXIMUM_PIPELINED_PROBES, this.limits.maximumPipelinedRequests),
      acceptsBodies: false
    }, handle, new EmptyRefusals())
  }

  /** Creates a reader of bodies, which share the budget of the process. */
  createBodyReader (maximumBytes: () => number): RequestBodyReader {
    return new RequestBodyReader(this._bodies, maximumBytes, this._refusals, this._clock)
  }

  /** Creates a reader of the beginnings of bodies, which share the budget of the process. */
  createBodyStartReader (): BodyStartReader {
    return new BodyStartReader(this._bodies, this.limits, this._refusals, this._clock)
  }

  /** Creates the table of the connections at the address for peers that have not identified themselves. */
  createPeerTable (): ConnectionTable {
    const { maximumConnections, maximumConnectionsPerAddress } = this.limits
    return this._createTable({
      maximumConnections: Math.min(MAXIMUM_UNIDENTIFIED_PEERS, maximumConnections),
      maximumConnectionsPerAddress: Math.min(MAXIMUM_UNIDENTIFIED_PEERS, maximumConnectionsPerAddress)
    })
  }

  /** Makes the connection of a request close after the response if the request's body has not been received. */
  closeUnread (request: IncomingMessage, response: ServerResponse): void {
    closeUnreadRequest(request, response, this._clock)
  }

  /** Counts a refusal that a request task decided on. */
  addRefusal (...refusal: Parameters<ClientRefusals['add']>): void {
    this._refusals.add(...refusal)
  }

  /** Enforces the bounds that depend on time; called in short intervals. */
  sweep (): void {
    const now = this._clock.now()
    this._bodies.refuseIdle(now)
    for (const table of this._tables) table.observe(now)
    this._refusals.summarize(now)
  }

  private _create (limits: ListenerLimits, handle: Handler, documents: EarlyRefusals): Server {
    return new LimitedServer(limits, this._createTable(limits), this._refusals, this._clock, handle, documents).server
  }

  private _createTable (bounds: Pick<ListenerLimits, 'maximumConnections' | 'maximumConnectionsPerAddress'>): ConnectionTable {
    const table = new ConnectionTable(bounds, this._policy, this._refusals, this._clock)
    this._tables.push(table)
    return table
  }
}
