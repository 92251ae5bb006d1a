/**
 * The server that peers connect to.
 */
import { once } from 'node:events'
import { createServer, type TLSSocket } from 'node:tls'
import type { Metrics } from '../observability/metrics.js'
import type { SocketAddress } from '../schemas/socket-address.js'
import { aborted } from '../supervision/aborted.js'
import type { Clock } from '../supervision/clock.js'
import type { Supervisor } from '../supervision/supervisor.js'
import { Task } from '../supervision/task.js'
import type { FleetSecret } from './fleet-secret.js'
import { PeerConnectionTask } from './peer-connection-task.js'
import type { PeerMethods } from './peer-methods.js'

/** Maximum number of open connections, so that unauthenticated clients cannot exhaust memory. */
const MAXIMUM_CONNECTIONS = 512

/** Time limit for the TLS handshake, in milliseconds. */
const HANDSHAKE_TIMEOUT_MILLISECONDS = 2_000

/** Starts a task for each connection whose TLS handshake proves knowledge of the shared secret. */
export class PeerServerTask extends Task {
  override readonly name = 'peer-server'

  /** @param _connectionSupervisor runs the connection tasks. */
  constructor (
    private readonly _address: SocketAddress,
    private readonly _connectionSupervisor: Supervisor,
    private readonly _secret: FleetSecret,
    private readonly _methods: PeerMethods,
    private readonly _clock: Clock,
    private readonly _metrics: Metrics
  ) {
    super()
  }

  override async run (signal: AbortSignal): Promise<void> {
    const server = createServer({ ...this._secret.serverOptions(), handshakeTimeout: HANDSHAKE_TIMEOUT_MILLISECONDS })
    server.maxConnections = MAXIMUM_CONNECTIONS
    server.on('secureConnection', (socket: TLSSocket) => {
      this._connectionSupervisor.start(new PeerConnectionTask(socket, this._methods, this._clock, this._metrics))
    })
    server.on('tlsClientError', (_error, socket) => {
      this._metrics.count('peers.failures')
      socket.destroy()
    })
    server.listen(this._address.port, this._address.host)
    await once(server, 'listening')
    await aborted(signal)
    server.close()
  }
}
