/**
 * `GET /v1/requests/<idempotency key>`: what became of an at-most-once call.
 */
import { randomUUID } from 'node:crypto';

import { RequestOutcome } from '@lapisbridge/types';

import { sendJson } from '../reply.js';
import { headerOf } from './caller-options.js';
import type { CallerOptions, Exchange } from './caller-options.js';

export const REQUESTS_PREFIX = '/v1/requests/';

export async function handleOutcome(options: CallerOptions, exchange: Exchange): Promise<void> {
  const { request, response, url } = exchange;
  const { outcomes } = options.context;
  const account = await options.accounts.authenticate(headerOf(request, 'authorization'));
  const key = {
    environment: options.instance.self.environment,
    service: '',
    account: account.name,
    idempotencyKey: decodeURIComponent(url.pathname.slice(REQUESTS_PREFIX.length)),
    digest: '',
  };
  // A write, not a read: an attempt that is frozen on its way must not run after this answer.
  const proof = await outcomes.prove(key, `asked-${randomUUID()}`);
  const result = await outcomes.loadResult(proof);
  const lostResult = proof.outcome === RequestOutcome.Done && result === undefined;
  sendJson(response, 200, {
    outcome: lostResult ? RequestOutcome.Unknown : proof.outcome,
    ...(result === undefined ? {} : { answer: result }),
  });
}
