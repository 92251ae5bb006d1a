/**
 * Loopback proxy that injects connection faults.
 */
import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'

/**
 * What the proxy does with connections: `open` forwards all data; `silent` drops the data in both directions; `mute` forwards
 * requests and drops responses; `refuse` resets new connections.
 */
type ProxyMode = 'open' | 'silent' | 'mute' | 'refuse'

/** A connection through the proxy. */
interface ProxiedConnection {
  readonly caller: Socket
  readonly target: Socket
  /** Whether all further data of the connection is dropped, as by a middlebox that has lost its state. */
  isBlackholed: boolean
}

/** Forwards connections from the system's processes to one address, and applies faults to them. */
export class FaultProxy {
  mode: ProxyMode = 'open'
  /** Delay of each chunk of data, in milliseconds. */
  delayMilliseconds = 0
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
    this.reset()
    this._server.close()
  }

  private _accept (caller: Socket): void {
    if (this.mode === 'refuse') {
      caller.resetAndDestroy()
      return
    }
    const target = connect(this._targetPort, '127.0.0.1')
    const connection: ProxiedConnection = { caller, target, isBlackholed: false }
    this._connections.add(connection)
    caller.on('data', bytes => this._forward(connection, target, bytes, this.mode === 'silent'))
    target.on('data', bytes => this._forward(connection, caller, bytes, this.mode !== 'open'))
    for (const [socket, peer] of [[caller, target], [target, caller]] as const) {
      // A reset by one end causes an error event; the close event that follows destroys the other end.
      socket.on('error', () => {})
      socket.on('close', () => {
        this._connections.delete(connection)
        if (!connection.isBlackholed) peer.destroy()
      })
    }
  }

  private _forward (connection: ProxiedConnection, destination: Socket, bytes: Buffer, isDropped: boolean): void {
    // A connection that has lost data can't continue, even after the fault.
    if (isDropped) connection.isBlackholed = true
    if (connection.isBlackholed) return
    if (this.delayMilliseconds === 0) destination.write(bytes)
    else setTimeout(() => { if (!connection.isBlackholed && !destination.destroyed) destination.write(bytes) }, this.delayMilliseconds)
  }
}
