/**
 * A preset: sizes, shares, limits and budgets that are put in force together.
 */
import * as z from 'zod'
import { Name } from './name.js'

/** What a preset sets of a pool. */
const PresetPool = z.object({
  pool: Name,
  /** Number of VMs that the pool should have. */
  size: z.number().int().min(0),
  /** Availability budget while the preset is in force; absent: the pool's own. */
  minimumServing: z.number().int().min(0).optional()
}).strict()

/** What a preset sets of a team; an absent value leaves the team's own. */
const PresetTeam = z.object({
  team: Name,
  share: z.number().int().min(1).max(1_000_000).optional(),
  upperLimit: z.number().int().min(0).max(1_000_000).optional()
}).strict()

/** A named set of sizes, shares, limits and budgets; exactly one preset is in force. */
export const Preset = z.object({
  name: Name,
  pools: z.array(PresetPool).max(256).default([]),
  teams: z.array(PresetTeam).max(1_024).default([])
}).strict()
export type Preset = z.infer<typeof Preset>
