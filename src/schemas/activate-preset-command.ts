/**
 * The command that puts a preset in force.
 */
import * as z from 'zod'
import { Name } from './name.js'

/** Puts a preset in force in place of the one before. */
export const ActivatePresetCommand = z.object({
  kind: z.literal('activate-preset'),
  preset: Name,
  /** Offset of the activation that the author saw in force; 0 for none. */
  expectedVersion: z.number().int().min(0)
})
export type ActivatePresetCommand = z.infer<typeof ActivatePresetCommand>
