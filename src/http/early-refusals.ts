/**
 * Refusals of requests for which there is no request task.
 */
import type { RefusalDocument } from './refusal-document.js'

/** Creates the documents of refusals that a server itself decides on. */
export abstract class EarlyRefusals {
  /**
   * Returns the document of one refusal.
   *
   * @param status 400, 408, 413 or 431.
   * @param hasBegun whether the headers of the request were received, so that it may already be carried out.
   */
  abstract create (status: number, hasBegun: boolean): RefusalDocument
}
