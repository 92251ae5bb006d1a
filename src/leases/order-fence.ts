/**
 * Fencing of the orders to one worker.
 */
import { TOKENS_PER_TERM } from '../ownership/tokens-per-term.js'

/**
 * The fencing token of an owner's calls to a worker. An owner raises it to overtake an order of its own that may be carried out late: the worker refuses
 * the order once it has seen the higher token. The token never falls within a term, also when the worker restarts, and the next term's are higher.
 */
export class OrderFence {
  private _token: number

  /** @param _term the term, whose number is the first token. */
  constructor (private readonly _term: number) {
    this._token = _term
  }

  /** Token of the calls that are made from now on. */
  get token (): number {
    return this._token
  }

  /** Whether the worker may have seen a higher token than the term's number. */
  get isRaised (): boolean {
    return this._token > this._term
  }

  /** Raises the token above that of an order without a response. Does nothing if it is higher already, or if the tokens of the term are used up. */
  raiseAbove (token: number): void {
    if (token === this._token && token < this._term + TOKENS_PER_TERM - 1) this._token += 1
  }
}
