/**
 * Turns within one pool in one placement round.
 */
import type { StepRank } from './step-rank.js'

/** Tasks that are placed in the order between two turns of the step that has waited longest: one in sixteen tasks is a turn. */
const TASKS_BETWEEN_TURNS = 15

/** Decides which step of a pool is next, and counts the tasks since the last turn. Steps whose tasks don't fit leave their turn to the next one by wait. */
export class PoolTurns<Step extends StepRank> {
  /** Whether steps of different lateness or usage level wait, so that turns are given. */
  private readonly _isMixed: boolean
  /** Steps by the time that they have waited, the longest first; null until it is needed, as in most rounds nothing is placed. */
  private _stepsByWait: readonly Step[] | null = null
  private _longestWaitingIndex = 0
  private readonly _exhausted = new Set<Step>()

  /**
   * @param _steps waiting steps of the pool.
   * @param _tasksSinceTurn tasks placed in earlier rounds since the last turn.
   */
  constructor (private readonly _steps: readonly Step[], private _tasksSinceTurn = TASKS_BETWEEN_TURNS) {
    const [first] = _steps
    this._isMixed = _steps.some(({ lateness, usageLevel }) => lateness !== first?.lateness || usageLevel !== first.usageLevel)
  }

  get tasksSinceTurn (): number {
    return this._tasksSinceTurn
  }

  /** Whether no more tasks of a step can be placed in this round. */
  isExhausted (step: Step): boolean {
    return this._exhausted.has(step)
  }

  /** Returns the step of which tasks are to be placed next, and the maximum number of them. */
  next (stepInOrder: Step): { readonly step: Step, readonly maximum: number } {
    if (!this._isMixed) return { step: stepInOrder, maximum: Infinity }
    if (this._tasksSinceTurn >= TASKS_BETWEEN_TURNS) return { step: this._longestWaiting ?? stepInOrder, maximum: 1 }
    return { step: stepInOrder, maximum: TASKS_BETWEEN_TURNS - this._tasksSinceTurn }
  }

  /** Records how many tasks of a step were placed. A gang may be more than the maximum; the turns that it delays follow one after another. */
  record (step: Step, count: number, maximum: number): void {
    if (this._isMixed && count > 0) this._tasksSinceTurn = step === this._longestWaiting ? Math.max(0, this._tasksSinceTurn - count * TASKS_BETWEEN_TURNS) : this._tasksSinceTurn + count
    if (count < maximum) this._exhausted.add(step)
  }

  /** The step that has waited longest of those that may still be placed. */
  private get _longestWaiting (): Step | null {
    this._stepsByWait ??= this._steps.toSorted((left, right) => left.requestedAt - right.requestedAt || (left.name < right.name ? -1 : 1))
    for (let step = this._stepsByWait[this._longestWaitingIndex]; step; step = this._stepsByWait[++this._longestWaitingIndex]) {
      if (!this._exhausted.has(step)) return step
    }
    return null
  }
}
