/**
 * A loopback proxy that harms connections.
 */
import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'

/**
 * What the proxy does with connections: `open` passes everything on; `silent` passes nothing in either direction; `mute` passes
 * requests and no answers; `refuse` resets new connections.
 */
type ProxyMode = 'open' | 'silent' | 'mute' | 'refuse'

/** A connection through the proxy. */
interface Link {
  readonly caller: Socket
  readonly target: Socket
  /** Whether something between the two ends has lost track of it: it stays silent for good. */
  isStale: boolean
}

/** Stands between the system's processes and one address. */
export class FaultProxy {
  mode: ProxyMode = 'open'
  /** Delay of each piece of data, in milliseconds. */
  delayMilliseconds = 0
  private readonly _links = new Set<Link>()
  private readonly _server: Server

  /** @param _targetPort port of loopback that is served behind the proxy. */
  constructor (private readonly _targetPort: number) {
    this._server = createServer(caller => this._accept(caller))
  }

  /** Listens; the port. */
  async listen (host: string, port: number): Promise<number> {
    this._server.listen(port, host)
    await once(this._server, 'listening')
    return (this._server.address() as AddressInfo).port
  }

  /** Breaks all connections off. */
  reset (): void {
    for (const { caller, target } of this._links) {
      caller.resetAndDestroy()
      target.destroy()
    }
  }

  /** Silences all present connections for good; new ones work. */
  lose (): void {
    for (const link of this._links) link.isStale = true
  }

  /** Ends the proxy. */
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
    const link: Link = { caller, target, isStale: false }
    this._links.add(link)
    caller.on('data', bytes => this._pass(link, target, bytes, this.mode === 'silent'))
    target.on('data', bytes => this._pass(link, caller, bytes, this.mode !== 'open'))
    for (const [one, other] of [[caller, target], [target, caller]] as const) {
      // A reset of one end shows as an error here; the close that follows ends the other.
      one.on('error', () => {})
      one.on('close', () => {
        this._links.delete(link)
        if (!link.isStale) other.destroy()
      })
    }
  }

  private _pass (link: Link, to: Socket, bytes: Buffer, isDropped: boolean): void {
    // What a cut has swallowed is missing for good, so that the connection can't go on.
    if (isDropped) link.isStale = true
    if (link.isStale) return
    if (this.delayMilliseconds === 0) to.write(bytes)
    else setTimeout(() => { if (!link.isStale && !to.destroyed) to.write(bytes) }, this.delayMilliseconds)
  }
}
