/**
 * The server that peers connect to.
 */
import { once } from 'node:events'
import type { Socket } from 'node:net'
import { createServer, type TLSSocket } from 'node:tls'
import type { ClientGuard } from '../http/client-guard.js'
import type { Metrics } from '../observability/metrics.js'
import type { SocketAddress } from '../schemas/socket-address.js'
import { aborted } from '../supervision/aborted.js'
import type { Clock } from '../supervision/clock.js'
import type { Supervisor } from '../supervision/supervisor.js'
import { Task } from '../supervision/task.js'
import type { FleetSecret } from './fleet-secret.js'
import { PeerConnectionTask } from './peer-connection-task.js'
import type { PeerMethods } from './peer-methods.js'

/** Maximum number of open connections, of peers and of clients that have not identified themselves. */
const MAXIMUM_CONNECTIONS = 512

/** Longest time limit for the TLS handshake, in milliseconds; `headersTimeoutMilliseconds` may be shorter. */
const HANDSHAKE_TIMEOUT_MILLISECONDS = 2_000

/**
 * Starts a task for each connection whose TLS handshake proves knowledge of the shared secret. Until then a connection is subject
 * to the bounds on clients, afterwards it is not closed to make room for others.
 */
export class PeerServerTask extends Task {
  override readonly name = 'peer-server'

  /**
   * @param _connectionSupervisor runs the connection tasks.
   * @param _guard bounds what clients can make the process use.
   */
  constructor (
    private readonly _address: SocketAddress,
    private readonly _connectionSupervisor: Supervisor,
    private readonly _secret: FleetSecret,
    private readonly _methods: PeerMethods,
    private readonly _guard: ClientGuard,
    private readonly _clock: Clock,
    private readonly _metrics: Metrics
  ) {
    super()
  }

  override async run (signal: AbortSignal): Promise<void> {
    const handshakeTimeout = Math.min(HANDSHAKE_TIMEOUT_MILLISECONDS, this._guard.limits.headersTimeoutMilliseconds)
    const server = createServer({ ...this._secret.serverOptions(), handshakeTimeout })
    server.maxConnections = MAXIMUM_CONNECTIONS
    const table = this._guard.createPeerTable()
    // Sockets of connections without a complete handshake; a TLS socket has the same remote address as the socket that it encrypts.
    const unidentified = new Map<string, Socket>()
    server.on('connection', (socket: Socket) => {
      const key = endpointOf(socket)
      unidentified.set(key, socket)
      socket.once('close', () => unidentified.delete(key))
      table.admit(socket)
    })
    server.on('secureConnection', (socket: TLSSocket) => {
      const unencrypted = unidentified.get(endpointOf(socket))
      if (unencrypted) table.release(unencrypted)
      this._connectionSupervisor.start(new PeerConnectionTask(socket, this._methods, this._clock, this._metrics))
    })
    server.on('tlsClientError', (error: NodeJS.ErrnoException, socket) => {
      this._metrics.count('peers.failures')
      if (error.code === 'ERR_TLS_HANDSHAKE_TIMEOUT') this._guard.addRefusal('slow-headers', socket.remoteAddress ?? '')
      socket.destroy()
    })
    server.listen(this._address.port, this._address.host)
    await once(server, 'listening')
    await aborted(signal)
    server.close()
  }
}

function endpointOf ({ remoteAddress, remotePort }: Socket): string {
  return `${remoteAddress}:${remotePort}`
}
