import { createSilentLogger } from '@lapisbridge/logger';
import { describe, expect, it } from 'vitest';

import type { AnswerHead } from './caller-protocol.js';
import { createServerRateLimits } from './server-rate-limits.js';
import type { ServerRateLimits } from './server-rate-limits.js';

function head(fields: Partial<AnswerHead> = {}): AnswerHead {
  return {
    status: 200,
    requestId: 'id',
    isSigned: true,
    notRun: false,
    isMisdirected: false,
    faultyAddress: undefined,
    load: undefined,
    rateLimit: undefined,
    headers: [],
    ...fields,
  };
}

describe('rate limits that servers state', () => {
  let now = 0;

  function limited(): ServerRateLimits {
    now = 1000;
    const limits = createServerRateLimits(createSilentLogger(), () => now);
    limits.onAnswer('server', head({ rateLimit: 1.5 }), 900);
    now = 1100;
    return limits;
  }

  it('stand from the answer that states one to the answer that states none', () => {
    const limits = limited();
    expect(limits.limitOf('server')).toBe(1.5);
    expect(limits.limitOf('other')).toBeUndefined();
    limits.onAnswer('server', head({ rateLimit: 0 }), 1050);
    expect(limits.limitOf('server')).toBe(0);
    limits.onAnswer('server', head(), 1100);
    expect(limits.limitOf('server')).toBeUndefined();
  });

  it('are stated by refusals, which do not lift them', () => {
    const limits = limited();
    limits.onAnswer('server', head({ status: 503, notRun: true }), 1050);
    expect(limits.limitOf('server')).toBe(1.5);
    limits.onAnswer('server', head({ status: 503, notRun: true, rateLimit: 2 }), 1050);
    expect(limits.limitOf('server')).toBe(2);
  });

  it('are not lifted by the answer to a request that was sent before', () => {
    const limits = limited();
    limits.onAnswer('server', head(), 950);
    expect(limits.limitOf('server')).toBe(1.5);
  });

  it('are not those of another server that has the address now', () => {
    const limits = limited();
    limits.onAnswer('server', head({ status: 421, isMisdirected: true, rateLimit: 9 }), 1050);
    expect(limits.limitOf('server')).toBe(1.5);
  });

  it('outlast a moment in which the server is missing from the list', () => {
    const limits = limited();
    limits.keepOnly(new Map());
    expect(limits.limitOf('server')).toBe(1.5);
    now += 60_000;
    limits.keepOnly(new Map());
    expect(limits.limitOf('server')).toBeUndefined();
  });
});
