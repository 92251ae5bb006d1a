/**
 * Refusals that consist of a status only.
 */
import { EarlyRefusals } from './early-refusals.js'
import type { RefusalDocument } from './refusal-document.js'

/** Creates no bodies. */
export class EmptyRefusals extends EarlyRefusals {
  override create (): RefusalDocument {
    return { contentType: '', body: '' }
  }
}
