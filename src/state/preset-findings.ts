/**
 * Check that the fleet can satisfy a preset.
 */
import type { Finding } from '../schemas/finding.js'
import type { Preset } from '../schemas/preset.js'
import type { FleetState } from './fleet-state.js'

/** Returns every reason why the fleet can't satisfy the preset; an empty list if it can. */
export function presetFindings (state: FleetState, preset: Preset): Finding[] {
  const findings: Finding[] = []
  const needed = preset.pools.reduce((sum, presetPool) => sum + presetPool.size, 0)
  if (needed > state.virtualMachines.size) {
    findings.push({
      path: '$.pools',
      code: 'limit',
      message: `asks for ${needed} VMs in all; ${state.virtualMachines.size} are registered`
    })
  }
  preset.pools.forEach((presetPool, index) => {
    const budget = presetPool.minimumServing ?? state.pools.get(presetPool.pool)?.value.minimumServing ?? 0
    if (budget > presetPool.size) {
      findings.push({
        path: `$.pools[${index}].size`,
        code: 'budget',
        message: `${presetPool.size} VMs cannot keep the availability budget of ${budget} serving`
      })
    }
  })
  return findings
}
