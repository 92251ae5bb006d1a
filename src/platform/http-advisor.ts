/**
 * A client for the platform's advice service.
 */
import { Left, type Either } from 'purify-ts/Either'
import * as z from 'zod'
import { Advisor } from '../placement/advisor.js'
import { AdvisorError } from '../placement/advisor-error.js'
import { listOf } from '../schemas/list-of.js'
import type { CallClient } from './call-client.js'
import { parseJson } from './parse-json.js'

const AdviceResponse = z.object({ good: listOf(z.tuple([z.string(), z.string()]).rest(z.unknown())) })

/** Requests advice over HTTP. */
export class HttpAdvisor extends Advisor {
  constructor (private readonly _client: CallClient) {
    super()
  }

  override async advise (step: string, workers: readonly string[], deadline: number, signal: AbortSignal): ReturnType<Advisor['advise']> {
    const response = await this._client.call({ method: 'POST', path: '/samphireglade/advise', body: { step, workers }, deadline, signal })
    return response.mapLeft(failure => new AdvisorError('unanswered', failure.message)).chain(({ status, body }): Awaited<ReturnType<Advisor['advise']>> => {
      if (status === 429) return Left(new AdvisorError('busy', 'the service has too many waiting calls'))
      if (status !== 200) return Left(new AdvisorError('unanswered', `the service returned status ${status}`))
      const parsed: Either<string, z.infer<typeof AdviceResponse>> = parseJson(AdviceResponse, body)
      return parsed.bimap(message => new AdvisorError('unanswered', message), ({ good }) => good.map(([worker, ticket]) => ({ worker, ticket })))
    })
  }
}
