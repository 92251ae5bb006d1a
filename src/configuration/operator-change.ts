/**
 * Changes that operators publish.
 */
import * as z from 'zod'
import { FleetConfiguration } from './fleet-configuration.js'
import { MaintenanceWave } from './maintenance-wave.js'

/** A decoded record of the operators' feed. */
export const OperatorChange = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('configuration'), configuration: FleetConfiguration }),
  z.object({ kind: z.literal('zone'), availabilityZone: z.string(), isOut: z.boolean() }),
  z.object({ kind: z.literal('wave'), wave: MaintenanceWave }),
  /** A record of an unknown kind, or one that can't be parsed. */
  z.object({ kind: z.literal('unknown'), key: z.string(), cause: z.string() })
])
export type OperatorChange = z.infer<typeof OperatorChange>
