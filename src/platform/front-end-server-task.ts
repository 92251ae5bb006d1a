/**
 * The callers' front end and the readiness address on the platform.
 */
import { once } from 'node:events'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import polka, { type Polka } from 'polka'
import type { JobService } from '../jobs/job-service.js'
import { aborted } from '../supervision/aborted.js'
import type { Clock } from '../supervision/clock.js'
import type { Supervisor } from '../supervision/supervisor.js'
import { Task } from '../supervision/task.js'
import { JobRequestTask } from './job-request-task.js'

/** How long a connection between two requests stays open, in milliseconds. */
const KEEP_ALIVE_MILLISECONDS = 65_000

/** Largest head of a request in bytes. */
const MAXIMUM_HEADER_BYTES = 16_384

/** Connections that wait to be taken. */
const BACKLOG = 1_024

/** How long connections are still served after a stop was asked for, in milliseconds; under the platform's grace time. */
const STOP_MILLISECONDS = 4_800

/** How often the end of the last requests is looked for while stopping, in milliseconds. */
const STOP_CHECK_MILLISECONDS = 50

/** Starts a task for each request. Open connections are served until shortly before the process has to be gone. */
export class FrontEndServerTask extends Task {
  override readonly name = 'front-server'

  /**
   * @param _address where callers connect.
   * @param _readinessAddress where the balancer asks.
   * @param _requests supervisor of the request tasks.
   * @param _isReady whether this process can serve and hasn't been asked to stop.
   * @param _stopRequestedAt epoch milliseconds at which the process was asked to stop; other parts stop before this one.
   * @param _maximumBodyBytes largest request body.
   */
  constructor (
    private readonly _address: string, private readonly _readinessAddress: string, private readonly _requests: Supervisor, private readonly _service: JobService,
    private readonly _isReady: () => boolean, private readonly _stopRequestedAt: () => number, private readonly _maximumBodyBytes: () => number, private readonly _clock: Clock
  ) {
    super()
  }

  override async run (signal: AbortSignal): Promise<void> {
    const readiness = createServer()
    const front = createServer({ maxHeaderSize: MAXIMUM_HEADER_BYTES, keepAliveTimeout: KEEP_ALIVE_MILLISECONDS, requestTimeout: 0 })
    try {
      await this._listen(polka({ server: readiness, onNoMatch: (_, response) => this._answerReadiness(response) }), this._readinessAddress)
      await this._listen(this._frontApplication(front), this._address)
      await aborted(signal)
      await this._finishRequests(front)
    } finally {
      // Also when an address is taken: a listener that stays would keep the restarted task from its own address.
      for (const server of [front, readiness]) {
        server.close()
        server.closeAllConnections()
      }
    }
  }

  /** Serves open connections for as long as the grace time allows. */
  private async _finishRequests (front: Server): Promise<void> {
    const end = this._stopRequestedAt() + STOP_MILLISECONDS
    // The balancer needs two misses; callers with open connections go on using them meanwhile.
    await this._clock.sleepUntil(end)
    front.close()
    while (this._requests.size > 0 && this._clock.now() < end + STOP_MILLISECONDS / 10) await this._clock.sleepUntil(this._clock.now() + STOP_CHECK_MILLISECONDS)
  }

  private _frontApplication (server: Server): Polka {
    const serve = (request: IncomingMessage, response: ServerResponse): void => {
      this._requests.start(new JobRequestTask(request, response, this._service, this._maximumBodyBytes(), this._clock))
    }
    // Queues come and go with configurations, so that the service routes; polka only carries the requests.
    return polka({ server, onNoMatch: serve })
  }

  private async _listen (application: Polka, address: string): Promise<void> {
    const [host, port] = address.split(':')
    application.listen({ host, port: Number(port), backlog: BACKLOG })
    await once(application.server as Server, 'listening')
  }

  private _answerReadiness (response: ServerResponse): void {
    response.statusCode = this._isReady() ? 200 : 503
    response.end()
  }
}
