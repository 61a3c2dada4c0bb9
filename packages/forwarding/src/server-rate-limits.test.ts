import { createSilentLogger } from '@lapisbridge/logger';
import { describe, expect, it } from 'vitest';

import { RateLimitKind } from './caller-protocol.js';
import type { ResponseHead, StatedRateLimit } from './caller-protocol.js';
import { headWith } from './head-fixture.js';
import { createServerRateLimits } from './server-rate-limits.js';
import type { ServerRateLimits } from './server-rate-limits.js';

function stated(requestsPerSecond: number): StatedRateLimit {
  return { kind: RateLimitKind.Stated, requestsPerSecond };
}

describe('rate limits that servers state', () => {
  let now = 0;
  let changes = 0;

  function limited(): ServerRateLimits {
    now = 1000;
    changes = 0;
    const limits = createServerRateLimits({
      logger: createSilentLogger(),
      entries: () => ({ own: 'a', names: ['a', 'b', 'c'], count: 3 }),
      onChange() {
        changes += 1;
      },
      now: () => now,
    });
    answer(limits, headWith({ rateLimit: stated(1.5) }), 900);
    now = 1100;
    return limits;
  }

  function answer(limits: ServerRateLimits, stating: ResponseHead, sentAt: number): void {
    limits.onAnswer({ instanceId: 'server', head: stating, sentAt });
  }

  it('apply from the answer that states one to the answer that states none', () => {
    const limits = limited();
    expect(limits.limitOf('server')).toBe(1.5);
    expect(limits.limitOf('other')).toBeUndefined();
    answer(limits, headWith({ rateLimit: stated(0) }), 1050);
    expect(limits.limitOf('server')).toBe(0);
    answer(limits, headWith(), 1100);
    expect(limits.limitOf('server')).toBeUndefined();
  });

  it('are stated by refusals and failures, which do not lift them', () => {
    const limits = limited();
    answer(limits, headWith({ status: 503, notRun: true }), 1050);
    expect(limits.limitOf('server')).toBe(1.5);
    answer(limits, headWith({ status: 503, notRun: true, rateLimit: stated(2) }), 1050);
    expect(limits.limitOf('server')).toBe(2);
    answer(limits, headWith({ status: 500 }), 1100);
    expect(limits.limitOf('server')).toBe(2);
  });

  it('are not lifted by the answer to a request that was sent before the statement', () => {
    const limits = limited();
    answer(limits, headWith(), 950);
    expect(limits.limitOf('server')).toBe(1.5);
  });

  it('are not lifted by a statement that cannot be read', () => {
    const limits = limited();
    answer(limits, headWith({ rateLimit: { kind: RateLimitKind.Malformed } }), 1050);
    expect(limits.limitOf('server')).toBe(1.5);
  });

  it('are sent to other entries, lifted ones for ten seconds', () => {
    const limits = limited();
    const told = { instanceId: 'server', requestsPerSecond: 1.5, ageMilliseconds: 100 };
    expect(limits.statements()).toEqual([told]);
    answer(limits, headWith(), 1050);
    now += 200;
    const lifted = { instanceId: 'server', requestsPerSecond: undefined, ageMilliseconds: 200 };
    expect(limits.statements()).toEqual([lifted]);
    now += 10_000;
    expect(limits.statements()).toEqual([]);
  });

  it('are accepted from other entries if they are newer', () => {
    const limits = limited();
    limits.onPeerStatements([{ instanceId: 'server', requestsPerSecond: 9, ageMilliseconds: 400 }]);
    expect(limits.limitOf('server')).toBe(1.5);
    limits.onPeerStatements([{ instanceId: 'server', requestsPerSecond: 2, ageMilliseconds: 20 }]);
    expect(limits.limitOf('server')).toBe(2);
    now += 500;
    limits.onPeerStatements([
      { instanceId: 'server', requestsPerSecond: undefined, ageMilliseconds: 100 },
    ]);
    expect(limits.limitOf('server')).toBeUndefined();
    // A lifted limit is not recorded for a server that was never known to be limited.
    limits.onPeerStatements([
      { instanceId: 'other', requestsPerSecond: undefined, ageMilliseconds: 0 },
    ]);
    expect(limits.statements()).toHaveLength(1);
  });

  it('call `onChange` when they change, but not when they are repeated', () => {
    const limits = limited();
    expect(changes).toBe(1);
    answer(limits, headWith({ rateLimit: stated(1.5) }), 1050);
    expect(changes).toBe(1);
    answer(limits, headWith({ rateLimit: stated(2) }), 1050);
    answer(limits, headWith(), 1100);
    answer(limits, headWith(), 1100);
    expect(changes).toBe(3);
  });

  it('persist while the server is briefly missing from the list', () => {
    const limits = limited();
    limits.keepOnly(new Map());
    expect(limits.limitOf('server')).toBe(1.5);
    now += 60_000;
    limits.keepOnly(new Map());
    expect(limits.limitOf('server')).toBeUndefined();
  });
});
