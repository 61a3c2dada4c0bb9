import { createRandom } from '@lapisbridge/kernel';
import { describe, expect, it } from 'vitest';

import { planRateLimitDelay } from './plan-rate-limit-delay.js';
import type { RateLimitDelayInput } from './plan-rate-limit-delay.js';
import { LIMITED_FROM_MILLISECONDS, simulateRateLimit } from './simulate-rate-limit.js';
import type { RateLimitScenario } from './simulate-rate-limit.js';

function delayWith(fields: Partial<RateLimitDelayInput>): number {
  return planRateLimitDelay({
    requestsPerSecond: 1,
    rank: 0,
    senders: 7,
    sentAt: [],
    statedAt: 10_000,
    now: 10_000,
    ...fields,
  });
}

describe('the delay at a server that states a rate limit', () => {
  it('is 0 for regular senders, and again after the others have had their share', () => {
    expect(delayWith({})).toBe(0);
    expect(delayWith({ sentAt: [9000] })).toBe(2000);
    expect(delayWith({ sentAt: [9000], now: 12_000 })).toBe(0);
  });

  it('allows bursts where one entry may send more than one request a second', () => {
    const sentAt = [9600, 9700, 9800];
    expect(delayWith({ requestsPerSecond: 8, senders: 2, sentAt })).toBe(0);
    expect(delayWith({ requestsPerSecond: 8, senders: 2, sentAt: [9500, ...sentAt] })).toBe(500);
  });

  it('lets the other entries take turns while nothing is heard from the server', () => {
    expect(delayWith({ rank: 3 })).toBe(2000);
    expect(delayWith({ rank: 3, now: 12_000 })).toBe(0);
    expect(delayWith({ rank: 4, now: 12_000 })).toBe(2000);
    expect(delayWith({ rank: 3, now: 12_500, sentAt: [12_100] })).toBeGreaterThan(0);
    expect(delayWith({ rank: 3, now: 14_000 })).toBe(6000);
  });

  it('allows an occasional request at a limit of 0, to learn whether the limit still applies', () => {
    expect(delayWith({ requestsPerSecond: 0 })).toBe(0);
    expect(delayWith({ requestsPerSecond: 0, sentAt: [9000] })).toBe(7000);
  });
});

const SEEDS = 2;
const SMALL = { entries: 6, demand: 2.5 };
/**
 * A large fleet in which only a few entries send to each server, as the cold-start limit requires.
 */
const LARGE = { entries: 98, senders: 8, demand: 2.5 };

describe('entries that share a rate limit', () => {
  it.each([
    ['a small fleet', SMALL],
    ['a large fleet', LARGE],
    ['a large fleet in which all send to the server', { entries: 98, demand: 2.5 }],
    ['a burst after a pause', { entries: 98, demand: 400, pausedUntil: 25_000 }],
    ['a high demand', { entries: 6, demand: 60 }],
    ['entries that restart in series', { ...SMALL, demand: 20, restartIntervalMilliseconds: 1500 }],
    ['a large fleet that restarts', { ...LARGE, demand: 60, restartIntervalMilliseconds: 2500 }],
    ['a single entry', { entries: 1, demand: 20 }],
    ['entries that know few other entries', { ...LARGE, knownShare: 0.3 }],
    ['messages that are lost', { ...SMALL, lossShare: 0.5 }],
    ['entries that receive no messages from each other', { ...SMALL, lossShare: 1, demand: 10 }],
  ])('never send more in total than it allows: %s', (_what, fields) => {
    // Guards against shares whose sum exceeds what the server takes from all entries.
    for (const requestsPerSecond of [0, 0.3, 1, 1.1, 4, 17]) {
      for (let seed = 1; seed <= SEEDS; seed += 1) {
        const scenario: RateLimitScenario = { seed, requestsPerSecond, ...fields };
        const { excess } = simulateRateLimit(scenario);
        expect(excess, JSON.stringify(scenario)).toBeLessThanOrEqual(0);
      }
    }
  });

  it.each([
    ['a small fleet', SMALL],
    ['a large fleet', LARGE],
    ['a fleet in which half of the entries have no requests', { ...SMALL, idleShare: 0.5 }],
  ])('use at least a third of it: %s', (_what, fields) => {
    for (let seed = 1; seed <= 5; seed += 1) {
      const { usedPerSecond } = simulateRateLimit({ seed, requestsPerSecond: 1, ...fields });
      expect(usedPerSecond).toBeGreaterThan(1 / 3);
    }
  });

  it.each([
    ['a small fleet', SMALL],
    ['a large fleet', LARGE],
    ['a fleet in which most entries have no requests', { ...SMALL, idleShare: 0.8 }],
  ])('learn within fifteen seconds that it is lifted: %s', (_what, fields) => {
    const random = createRandom(3);
    for (let seed = 1; seed <= 5; seed += 1) {
      const liftedAt = LIMITED_FROM_MILLISECONDS + 10_000 + Math.floor(10_000 * random());
      const scenario = { seed, requestsPerSecond: 0.5, liftedAt, ...fields };
      expect(simulateRateLimit(scenario).liftKnownAfterMilliseconds).toBeLessThan(15_000);
    }
  });
});
