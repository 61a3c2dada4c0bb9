import { createSilentLogger } from '@lapisbridge/logger';
import { beforeEach, describe, expect, it } from 'vitest';

import { serverWith } from './backend-server-fixture.js';
import { RateLimitKind, RetryAfterKind } from './caller-protocol.js';
import type { ResponseHead } from './caller-protocol.js';
import { headWith, refusalWith } from './head-fixture.js';
import { createServerBackoffs } from './server-backoffs.js';
import { createServerDepartures } from './server-departures.js';
import { createServerRateLimits } from './server-rate-limits.js';
import { createServerStatements } from './server-statements.js';
import type { ServerStatements } from './server-statements.js';

const SERVER = serverWith();

/** Fields of a head that makes every kind of statement. */
const STATING: Partial<ResponseHead> = {
  rateLimit: { kind: RateLimitKind.Stated, requestsPerSecond: 0.5 },
  retryAfter: { kind: RetryAfterKind.Stated, milliseconds: 3000 },
  isLeaving: true,
};

describe('statements of servers', () => {
  let statements: ServerStatements;

  beforeEach(() => {
    const now = (): number => 1000;
    const logger = createSilentLogger();
    statements = createServerStatements({
      rateLimits: createServerRateLimits({
        logger,
        entries: () => ({ own: 'a', names: ['a'], count: 1 }),
        onChange: () => undefined,
        now,
      }),
      backoffs: createServerBackoffs(now, logger),
      departures: createServerDepartures(now, logger),
    });
  });

  function answer(head: ResponseHead): void {
    statements.onAnswer({ server: SERVER, head, requestId: 'id', sentAt: 900 });
  }

  it('are combined into one admission', () => {
    answer(refusalWith(STATING));
    expect(statements.admission(SERVER, 1)).toMatchObject({
      isLeaving: true,
      backoffMilliseconds: 3000,
    });
    expect(statements.rateLimitOf('server')).toBe(0.5);
  });

  it.each([
    ['another server that has the address now', headWith({ status: 421, isMisdirected: true })],
    ['an answer to another request', headWith({ status: 503, requestId: 'other' })],
    ['a success without a signature', headWith({ isSigned: false })],
  ])('are not taken from %s', (_, head) => {
    answer({ ...head, ...STATING });
    expect(statements.admission(SERVER, 1)).toEqual({
      isLeaving: false,
      backoffMilliseconds: 0,
      roomInMilliseconds: 0,
    });
    expect(statements.rateLimitOf('server')).toBeUndefined();
  });
});
