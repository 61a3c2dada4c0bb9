import { createSilentLogger } from '@lapisbridge/logger';
import { describe, expect, it, vi } from 'vitest';

import { createGate, EntranceKind } from './gate.js';
import type { Entrance, Gate } from './gate.js';

const POLICY = {
  coldConcurrency: 1,
  maximumConcurrency: 1,
  expectedStepMilliseconds: 10,
  maximumQueuedRequests: 4,
  queueMilliseconds: 2000,
  retryAfterMilliseconds: 100,
};

function open(): Gate {
  return createGate({
    logger: createSilentLogger(),
    name: 'gate',
    policy: () => POLICY,
    isDraining: () => false,
    isBackendReachable: () => true,
  });
}

function enter(gate: Gate): Promise<Entrance> {
  const request = {
    requestId: 'id',
    account: 'account',
    weight: 1,
    tokens: 1,
    remainingMilliseconds: 5000,
  };
  return gate.enter(request, new AbortController().signal);
}

describe('a gate whose backend server has asked for a backoff', () => {
  it('refuses what comes, and says until when', async () => {
    // Guards against a server that is sent requests within the backoff that it asked for.
    const gate = open();
    gate.suspend(1000);
    gate.suspend(200);
    const entrance = await enter(gate);
    if (entrance.kind !== EntranceKind.Refused) throw new Error('it was admitted');
    expect(entrance.refusal.retryAfterMilliseconds).toBeGreaterThan(900);
    expect(gate.suspendedMilliseconds()).toBeGreaterThan(900);
  });

  it('starts what waits when the backoff is over, and nothing before', async () => {
    const gate = open();
    const first = await enter(gate);
    if (first.kind !== EntranceKind.Admitted) throw new Error('it was refused');
    const waiting = enter(gate);
    const suspendedAt = performance.now();
    gate.suspend(300);
    first.release();
    expect((await waiting).kind).toBe(EntranceKind.Admitted);
    expect(performance.now() - suspendedAt).toBeGreaterThanOrEqual(299);
  });

  it('starts what waits also when its timer fires before the backoff is over', async () => {
    // Guards against requests that wait out their time at a server that is free again.
    vi.useFakeTimers({ toFake: ['setTimeout'] });
    try {
      const gate = open();
      const first = await enter(gate);
      if (first.kind !== EntranceKind.Admitted) throw new Error('it was refused');
      const waiting = enter(gate);
      gate.suspend(100);
      first.release();
      vi.advanceTimersByTime(100);
      await vi.waitUntil(() => gate.suspendedMilliseconds() === 0);
      vi.advanceTimersByTime(101);
      expect(gate.load().queued).toBe(0);
      expect((await waiting).kind).toBe(EntranceKind.Admitted);
    } finally {
      vi.useRealTimers();
    }
  });
});
