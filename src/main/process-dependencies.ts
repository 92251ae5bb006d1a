/**
 * External dependencies of an entry or control process.
 */
import type { Logger } from 'winston'
import type { EndpointProber } from '../endpoints/endpoint-prober.js'
import type { Metrics } from '../observability/metrics.js'
import type { PlatformLog } from '../state/platform-log.js'
import type { VirtualMachineControl } from '../control/virtual-machine-control.js'
import type { WorkerControl } from '../control/worker-control.js'
import type { Clock } from '../supervision/clock.js'
import type { IdentifierSource } from '../supervision/identifier-source.js'
import type { RandomSource } from '../supervision/random-source.js'
import type { EntryPolicies } from './entry-policies.js'

/** Everything through which a process reaches the outside; tests pass fakes. */
export interface ProcessDependencies {
  readonly clock: Clock
  readonly random: RandomSource
  readonly identifiers: IdentifierSource
  readonly logger: Logger
  readonly metrics: Metrics
  readonly platformLog: PlatformLog
  readonly virtualMachineControl: VirtualMachineControl
  readonly workerControl: WorkerControl
  readonly prober: EndpointProber
  /** Policies that replace the default ones. */
  readonly policies?: EntryPolicies
  /** Starts a planned stop of the process. */
  readonly requestStop: (reason: string) => void
}
