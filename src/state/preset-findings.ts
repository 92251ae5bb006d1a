/**
 * Check that the fleet can satisfy a preset.
 */
import type { Finding } from '../schemas/finding.js'
import type { Preset } from '../schemas/preset.js'
import type { FleetState } from './fleet-state.js'

/** Returns every reason why the fleet can't satisfy the preset; an empty list if it can. */
export function presetFindings (state: FleetState, preset: Preset): Finding[] {
  const findings: Finding[] = []
  const needed = preset.pools.reduce((sum, entry) => sum + entry.size, 0)
  if (needed > state.virtualMachines.size) {
    findings.push({
      path: '$.pools',
      code: 'limit',
      message: `asks for ${needed} VMs in all; ${state.virtualMachines.size} are registered`
    })
  }
  preset.pools.forEach((entry, index) => {
    const budget = entry.minimumServing ?? state.pools.get(entry.pool)?.value.minimumServing ?? 0
    if (budget > entry.size) {
      findings.push({
        path: `$.pools[${index}].size`,
        code: 'budget',
        message: `${entry.size} VMs cannot keep the availability budget of ${budget} serving`
      })
    }
  })
  return findings
}
