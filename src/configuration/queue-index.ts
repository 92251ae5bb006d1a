/**
 * An index that finds the queue for a request's host and path.
 */
import type { FleetConfiguration } from './fleet-configuration.js'
import type { JobQueue } from './job-queue.js'

/** Looks up one prefix for each distinct prefix length, longest first, so the cost does not grow with the number of queues. */
export class QueueIndex {
  private readonly _queuesByHost = new Map<string, Map<string, JobQueue>>()
  private readonly _prefixLengths = new Map<string, number[]>()

  constructor (configuration: FleetConfiguration) {
    for (const queue of configuration.queues) {
      const prefixes = this._queuesByHost.get(queue.host) ?? new Map<string, JobQueue>()
      this._queuesByHost.set(queue.host, prefixes.set(queue.pathPrefix, queue))
    }
    for (const [host, prefixes] of this._queuesByHost) {
      this._prefixLengths.set(host, [...new Set([...prefixes.keys()].map(({ length }) => length))].sort((left, right) => right - left))
    }
  }

  /** Returns the queue with the longest prefix of `path`, or null. */
  find (host: string, path: string): JobQueue | null {
    const prefixes = this._queuesByHost.get(host)
    if (!prefixes) return null
    for (const length of this._prefixLengths.get(host) ?? []) {
      const queue = length <= path.length ? prefixes.get(path.slice(0, length)) : undefined
      if (queue) return queue
    }
    return null
  }
}
