/**
 * What speaks against putting a preset in force.
 */
import type { Finding } from '../schemas/finding.js'
import type { Preset } from '../schemas/preset.js'
import type { FleetState } from './fleet-state.js'

/** Lists every reason why the fleet cannot meet the preset; empty if it can. */
export function presetFindings (state: FleetState, preset: Preset): Finding[] {
  const findings: Finding[] = []
  const wanted = preset.pools.reduce((sum, entry) => sum + entry.size, 0)
  if (wanted > state.virtualMachines.size) {
    findings.push({
      path: '$.pools',
      code: 'limit',
      message: `asks for ${wanted} VMs in all; ${state.virtualMachines.size} are registered`
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
