/**
 * Commands that create or replace one configuration object.
 */
import * as z from 'zod'
import { CutOffPolicy } from './cut-off-policy.js'
import { Pool } from './pool.js'
import { Preset } from './preset.js'
import { Queue } from './queue.js'
import { Team } from './team.js'
import { VirtualMachine } from './virtual-machine.js'
import { Worker } from './worker.js'

/** Version of the object known to the author, 0 if it doesn't exist yet; the fold refuses the command if the current version differs. */
const expectedVersion = z.number().int().min(0)

/** Creates or replaces one object. */
export const PutCommand = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('put-pool'), value: Pool, expectedVersion }),
  z.object({ kind: z.literal('put-virtual-machine'), value: VirtualMachine, expectedVersion }),
  z.object({ kind: z.literal('put-team'), value: Team, expectedVersion }),
  z.object({ kind: z.literal('put-queue'), value: Queue, expectedVersion }),
  z.object({ kind: z.literal('put-preset'), value: Preset, expectedVersion }),
  z.object({ kind: z.literal('put-worker'), value: Worker, expectedVersion }),
  z.object({ kind: z.literal('put-cut-off-policy'), value: CutOffPolicy, expectedVersion })
])
export type PutCommand = z.infer<typeof PutCommand>
