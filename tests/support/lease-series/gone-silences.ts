/**
 * The ways in which workers fall silent in series of workers that have ended.
 */
import type { EmulatedWorker } from '../../../stand-ins/emulator/emulated-worker.js'
import type { Disturbance } from './disturbance.js'
import { WORKER_RETURNS } from './worker-returns.js'
import { WORKER_SILENCES } from './worker-silences.js'

/** All of them; those after which workers are gone for good come twice. */
export const GONE_SILENCES: readonly Disturbance<readonly EmulatedWorker[]>[] = [...WORKER_SILENCES, ...WORKER_SILENCES.filter(({ end }) => end === 'none'), ...WORKER_RETURNS]
