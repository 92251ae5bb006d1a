/**
 * Plays series of workers that start again, for tests.
 */
import { describeRestartPlan } from './describe-restart-plan.js'
import { drawRestartPlan } from './draw-restart-plan.js'
import { RestartPlayer } from './restart-player.js'

/** Returns the plans of the seeds in which a task ran twice, each with what was found. */
export async function restartFindings (firstSeed: number, lastSeed: number, mode: Parameters<typeof drawRestartPlan>[1] = 'prompt'): Promise<string[]> {
  const findings: string[] = []
  for (let seed = firstSeed; seed <= lastSeed; seed++) {
    const plan = drawRestartPlan(seed, mode)
    const { findings: found } = await RestartPlayer.play(plan)
    if (found.length > 0) findings.push(describeRestartPlan(plan), ...found.map(({ violation, cause }) => `${violation}; given up by: ${cause}`))
  }
  return findings
}
