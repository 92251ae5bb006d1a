/**
 * Self times of functions, from a profile that Node has written.
 */
import * as z from 'zod'

const Profile = z.object({
  nodes: z.array(z.object({ id: z.number(), callFrame: z.object({ functionName: z.string(), url: z.string(), lineNumber: z.number() }) })),
  samples: z.array(z.number()),
  timeDeltas: z.array(z.number())
})

/** A function with the time spent in it, without the functions that it calls. */
interface SelfTime {
  readonly name: string
  readonly milliseconds: number
}

/** A `.cpuprofile` file. */
export class CpuProfile {
  private readonly _milliseconds = new Map<string, number>()

  constructor (text: string) {
    const { nodes, samples, timeDeltas } = Profile.parse(JSON.parse(text))
    const names = new Map(nodes.map(({ id, callFrame: { functionName, url, lineNumber } }) => [id, `${functionName || '(anonymous)'} ${url.slice(url.lastIndexOf('/') + 1)}:${lineNumber + 1}`]))
    samples.forEach((id, index) => {
      const name = names.get(id) ?? ''
      this._milliseconds.set(name, (this._milliseconds.get(name) ?? 0) + (timeDeltas[index] ?? 0) / 1_000)
    })
  }

  /** Returns the functions with the largest self times, largest first. */
  selfTimes (count: number): SelfTime[] {
    const sorted = [...this._milliseconds].sort(([, left], [, right]) => right - left)
    return sorted.filter(([name]) => !name.startsWith('(idle)')).slice(0, count).map(([name, milliseconds]) => ({ name, milliseconds }))
  }
}
