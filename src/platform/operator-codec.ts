/**
 * Decodes records that operators publish.
 */
import { Just, type Maybe } from 'purify-ts/Maybe'
import * as z from 'zod'
import type { OperatorChange } from '../configuration/operator-change.js'
import { listOf } from '../schemas/list-of.js'
import type { KeyedRecord } from './keyed-record.js'
import { parseJson } from './parse-json.js'
import { WireConfiguration } from './wire-configuration.js'

const EVACUATION_KEY_PREFIX = 'evacuate/'
const WAVE_KEY_PREFIX = 'wave/'

const WireWave = z.object({
  wave: z.number().int(),
  machines: listOf(z.string()),
  duration_s: z.number().min(0),
  // Maximum number of VMs down for maintenance at once.
  max_count: z.number().int().min(1).default(1)
})

/** Decodes the keys `config`, `evacuate/ZONE` and `wave/N`; any other record becomes an `unknown` change. */
export class OperatorCodec {
  static decode ({ key, value }: KeyedRecord): Maybe<OperatorChange> {
    if (key.startsWith(EVACUATION_KEY_PREFIX)) return Just({ kind: 'zone', availabilityZone: key.slice(EVACUATION_KEY_PREFIX.length), isOut: value.length > 0 })
    if (key === 'config') {
      return Just(parseJson(WireConfiguration, value).caseOf<OperatorChange>({
        Left: cause => ({ kind: 'unknown', key, cause }),
        Right: configuration => ({ kind: 'configuration', configuration })
      }))
    }
    if (key.startsWith(WAVE_KEY_PREFIX) && value.length > 0) {
      return Just(parseJson(WireWave, value).caseOf<OperatorChange>({
        Left: cause => ({ kind: 'unknown', key, cause }),
        Right: wave => ({
          kind: 'wave',
          wave: { wave: wave.wave, virtualMachines: wave.machines, durationMilliseconds: wave.duration_s * 1_000, maximumAtOnce: wave.max_count }
        })
      }))
    }
    return Just({ kind: 'unknown', key, cause: value.length === 0 ? 'the record was deleted' : 'no such kind of record' })
  }
}
