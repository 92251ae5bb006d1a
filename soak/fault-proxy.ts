/**
 * Loopback proxy that injects connection faults.
 */
import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'

/**
 * What the proxy does with connections: `open` forwards all data; `silent` drops the data in both directions; `mute` forwards
 * requests and drops responses; `refuse` resets new connections; `late` forwards requests after `latenessMilliseconds`, on
 * connections of their own, and drops their responses.
 */
type ProxyMode = 'open' | 'silent' | 'mute' | 'refuse' | 'late'

/** A connection through the proxy. */
interface ProxiedConnection {
  readonly caller: Socket
  readonly target: Socket
  /** Whether all further data of the connection is dropped, as by a middlebox that has lost its state. */
  isBlackholed: boolean
  /** Lateness of the connection's requests, in milliseconds; 0 if they aren't late. */
  latenessMilliseconds: number
  /** Connection on which late requests are forwarded; null before the first. */
  lateTarget: Socket | null
}

/** Forwards connections from the system's processes to one address, and applies faults to them. */
export class FaultProxy {
  mode: ProxyMode = 'open'
  /** Delay of each chunk of data, in milliseconds. */
  delayMilliseconds = 0
  /** Lateness of requests in mode \`late\`, in milliseconds. */
  latenessMilliseconds = 0
  /** IP addresses of callers whose connections carry no data in either direction. */
  readonly blockedCallers = new Set<string>()
  /** IP address of the last caller that sent data, and the epoch milliseconds of that; empty before. */
  lastCaller = { address: '', at: 0 }
  private _isClosed = false
  private readonly _connections = new Set<ProxiedConnection>()
  private readonly _server: Server

  /** @param _targetPort loopback port that connections are forwarded to. */
  constructor (private readonly _targetPort: number) {
    this._server = createServer(caller => this._accept(caller))
  }

  /** Starts listening and returns the port. */
  async listen (host: string, port: number): Promise<number> {
    this._server.listen(port, host)
    await once(this._server, 'listening')
    return (this._server.address() as AddressInfo).port
  }

  /** Resets all connections. */
  reset (): void {
    for (const { caller, target } of this._connections) {
      caller.resetAndDestroy()
      target.destroy()
    }
  }

  /** Drops all further data of the open connections; new connections work. */
  blackhole (): void {
    for (const connection of this._connections) connection.isBlackholed = true
  }

  /** Resets all connections and closes the server. */
  close (): void {
    this._isClosed = true
    this.reset()
    this._server.close()
  }

  private _accept (caller: Socket): void {
    if (this.mode === 'refuse') {
      caller.resetAndDestroy()
      return
    }
    const target = connect(this._targetPort, '127.0.0.1')
    const connection: ProxiedConnection = { caller, target, isBlackholed: false, latenessMilliseconds: 0, lateTarget: null }
    this._connections.add(connection)
    const callerAddress = caller.remoteAddress ?? ''
    caller.on('data', bytes => {
      this.lastCaller = { address: callerAddress, at: Date.now() }
      // The rest of a request that is late is late as well.
      if (this.mode === 'late' && !connection.isBlackholed && connection.latenessMilliseconds === 0) connection.latenessMilliseconds = this.latenessMilliseconds
      if (connection.latenessMilliseconds > 0) this._forwardLate(connection, bytes)
      else this._forward(connection, target, bytes, this.mode === 'silent' || this.blockedCallers.has(callerAddress))
    })
    target.on('data', bytes => this._forward(connection, caller, bytes, this.mode !== 'open' || connection.latenessMilliseconds > 0 || this.blockedCallers.has(callerAddress)))
    for (const [socket, peer] of [[caller, target], [target, caller]] as const) {
      // A reset by one end causes an error event; the close event that follows destroys the other end.
      socket.on('error', () => {})
      socket.on('close', () => {
        this._connections.delete(connection)
        if (!connection.isBlackholed) peer.destroy()
      })
    }
  }

  private _forwardLate (connection: ProxiedConnection, bytes: Buffer): void {
    setTimeout(() => {
      if (this._isClosed) return
      // Responses are dropped; an error event precedes the close of the connection.
      connection.lateTarget ??= connect(this._targetPort, '127.0.0.1').on('error', () => {}).resume()
      if (!connection.lateTarget.destroyed) connection.lateTarget.write(bytes)
    }, connection.latenessMilliseconds)
  }

  private _forward (connection: ProxiedConnection, destination: Socket, bytes: Buffer, isDropped: boolean): void {
    // A connection that has lost data can't continue, even after the fault.
    if (isDropped) connection.isBlackholed = true
    if (connection.isBlackholed) return
    if (this.delayMilliseconds === 0) destination.write(bytes)
    else setTimeout(() => { if (!connection.isBlackholed && !destination.destroyed) destination.write(bytes) }, this.delayMilliseconds)
  }
}
