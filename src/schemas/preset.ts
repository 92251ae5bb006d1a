/**
 * Presets: sizes, shares, limits and budgets that take effect together.
 */
import * as z from 'zod'
import { Name } from './name.js'

/** A preset's values for a pool. */
const PresetPool = z.object({
  pool: Name,
  /** Number of VMs that the pool should have. */
  size: z.number().int().min(0),
  /** Availability budget while the preset is in force; if absent, the pool's own applies. */
  minimumServing: z.number().int().min(0).optional()
}).strict()

/** A preset's values for a team; if a value is absent, the team's own applies. */
const PresetTeam = z.object({
  team: Name,
  share: z.number().int().min(1).max(1_000_000).optional(),
  upperLimit: z.number().int().min(0).max(1_000_000).optional()
}).strict()

/** A named set of sizes, shares, limits and budgets; at most one preset is in force. */
export const Preset = z.object({
  name: Name,
  pools: z.array(PresetPool).max(256).default([]),
  teams: z.array(PresetTeam).max(1_024).default([])
}).strict()
export type Preset = z.infer<typeof Preset>
