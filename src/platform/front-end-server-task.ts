/**
 * The HTTP servers for callers' job requests and for the load balancer's readiness checks.
 */
import { once } from 'node:events'
import type { Server } from 'node:http'
import type { ClientGuard } from '../http/client-guard.js'
import type { JobService } from '../jobs/job-service.js'
import { aborted } from '../supervision/aborted.js'
import type { Clock } from '../supervision/clock.js'
import type { Supervisor } from '../supervision/supervisor.js'
import { Task } from '../supervision/task.js'
import { JobRequestTask } from './job-request-task.js'

/** Maximum number of connections that wait to be accepted. */
const LISTEN_BACKLOG = 1_024

/** How long open connections are served after a shutdown request, in milliseconds; shorter than the platform's grace period. */
const SHUTDOWN_GRACE_PERIOD_MILLISECONDS = 4_800

/** How often the number of running requests is polled during shutdown, in milliseconds. */
const SHUTDOWN_POLL_INTERVAL_MILLISECONDS = 50

/** Starts one task per request. On shutdown, open connections are served until shortly before the platform's grace period ends. */
export class FrontEndServerTask extends Task {
  override readonly name = 'front-server'

  /**
   * @param _address listen address for callers.
   * @param _readinessAddress listen address for the load balancer's readiness checks.
   * @param _requestSupervisor supervisor of the request tasks.
   * @param _service job service that handles the requests.
   * @param _isReady whether this process can serve requests and has not been asked to shut down.
   * @param _stopRequestedAt epoch milliseconds at which the process was asked to shut down; other parts of the process stop before this task.
   * @param _maximumBodyBytes largest request body in bytes.
   * @param _guard bounds what clients can make the process use.
   */
  constructor (
    private readonly _address: string, private readonly _readinessAddress: string, private readonly _requestSupervisor: Supervisor, private readonly _service: JobService,
    private readonly _isReady: () => boolean, private readonly _stopRequestedAt: () => number, private readonly _maximumBodyBytes: () => number, private readonly _guard: ClientGuard, private readonly _clock: Clock
  ) {
    super()
  }

  override async run (signal: AbortSignal): Promise<void> {
    const readinessServer = this._guard.createProbeServer((_, response) => {
      response.statusCode = this._isReady() ? 200 : 503
      response.end()
    })
    const bodies = this._guard.createBodyReader(this._maximumBodyBytes)
    // Queues change with the configuration, so the job service does the routing.
    const callerServer = this._guard.createServer((request, response) => {
      this._requestSupervisor.start(new JobRequestTask(request, response, this._service, bodies, this._guard, this._clock))
    })
    try {
      await this._listen(readinessServer, this._readinessAddress)
      await this._listen(callerServer, this._address)
      await aborted(signal)
      await this._drainConnections(callerServer)
    } finally {
      // Also needed when listening fails: if one address is in use, the listener on the other must not block the restarted task.
      for (const server of [callerServer, readinessServer]) {
        server.close()
        server.closeAllConnections()
      }
    }
  }

  /** Serves open connections until the grace period ends, then waits for running requests for at most a tenth of it. */
  private async _drainConnections (callerServer: Server): Promise<void> {
    const graceDeadline = this._stopRequestedAt() + SHUTDOWN_GRACE_PERIOD_MILLISECONDS
    // The load balancer removes this process after two failed readiness checks; until then callers keep using their open connections.
    await this._clock.sleepUntil(graceDeadline)
    callerServer.close()
    while (this._requestSupervisor.size > 0 && this._clock.now() < graceDeadline + SHUTDOWN_GRACE_PERIOD_MILLISECONDS / 10) await this._clock.sleepUntil(this._clock.now() + SHUTDOWN_POLL_INTERVAL_MILLISECONDS)
  }

  private async _listen (server: Server, address: string): Promise<void> {
    const [host, port] = address.split(':')
    server.listen({ host, port: Number(port), backlog: LISTEN_BACKLOG })
    await once(server, 'listening')
  }
}
