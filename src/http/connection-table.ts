/**
 * The open connections at one listening address.
 */
import type { Socket } from 'node:net'
import type { Clock } from '../supervision/clock.js'
import { ClientConnection } from './client-connection.js'
import type { ClientRefusals } from './client-refusals.js'
import type { EvictionPolicy } from './eviction-policy.js'

/** Bounds on connections. */
interface ConnectionBounds {
  readonly maximumConnections: number
  readonly maximumConnectionsPerAddress: number
}

/** Keeps the number of connections within its bounds by closing others, as the policy decides. */
export class ConnectionTable {
  private readonly _connections = new Map<Socket, ClientConnection>()
  private readonly _countByAddress = new Map<string, number>()

  constructor (private readonly _bounds: ConnectionBounds, private readonly _policy: EvictionPolicy, private readonly _refusals: ClientRefusals, private readonly _clock: Clock) {}

  /** Returns the connection of a socket, if it is open. */
  get (socket: Socket): ClientConnection | undefined {
    return this._connections.get(socket)
  }

  /** Admits a new connection, for which another one may be closed, or closes it and returns null. */
  admit (socket: Socket): ClientConnection | null {
    const now = this._clock.now()
    const connection = new ClientConnection(socket, now)
    const { remoteAddress } = connection
    const countOfAddress = this._countByAddress.get(remoteAddress) ?? 0
    if (countOfAddress >= this._bounds.maximumConnectionsPerAddress) {
      const ofAddress = [...this._connections.values()].filter(other => other.remoteAddress === remoteAddress)
      if (!this._makeRoom(ofAddress, connection, 'address', now)) return null
    } else if (this._connections.size >= this._bounds.maximumConnections) {
      if (!this._makeRoom([...this._connections.values()], connection, 'connections', now)) return null
    }
    this._connections.set(socket, connection)
    this._countByAddress.set(remoteAddress, (this._countByAddress.get(remoteAddress) ?? 0) + 1)
    socket.once('close', () => this._remove(connection))
    return connection
  }

  /** Stops counting a connection, which stays open. */
  release (socket: Socket): void {
    const connection = this._connections.get(socket)
    if (connection) this._remove(connection)
  }

  /** Notes the progress of all connections. */
  observe (now: number): void {
    for (const connection of this._connections.values()) connection.observe(now)
  }

  /** Closes another connection, or the new one if none may be closed. */
  private _makeRoom (candidates: readonly ClientConnection[], connection: ClientConnection, reason: 'address' | 'connections', now: number): boolean {
    for (const candidate of candidates) candidate.observe(now)
    const closed = this._policy.chooseConnection(candidates, now)
    this._refusals.add(reason, (closed ?? connection).remoteAddress)
    if (closed === null) {
      connection.socket.destroy()
      return false
    }
    this._remove(closed)
    closed.socket.destroy()
    return true
  }

  private _remove (connection: ClientConnection): void {
    if (!this._connections.delete(connection.socket)) return
    const count = (this._countByAddress.get(connection.remoteAddress) ?? 1) - 1
    if (count === 0) this._countByAddress.delete(connection.remoteAddress)
    else this._countByAddress.set(connection.remoteAddress, count)
  }
}
