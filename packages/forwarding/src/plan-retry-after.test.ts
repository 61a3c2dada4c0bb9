import { expect, it } from 'vitest';

import { planRefusalCause, planRetryAfter, RefusalCause } from './plan-retry-after.js';

function retryAfter(cause: RefusalCause, remainingMilliseconds: number, random: number): number {
  return planRetryAfter({ cause, remainingMilliseconds, random });
}

it('never asks for more than a third of the time that the caller has left', () => {
  for (const cause of Object.values(RefusalCause)) {
    for (const random of [0, 0.999])
      expect(retryAfter(cause, 900, random)).toBeLessThanOrEqual(300);
  }
});

it('spreads callers that are refused together', () => {
  // A hundred streams are refused at the same moment because every slot is taken. With equal times
  // they would all retry, and be refused, together.
  const late = retryAfter(RefusalCause.Crowded, 8000, 0);
  const early = retryAfter(RefusalCause.Crowded, 8000, 0.999);
  expect(late - early).toBeGreaterThan(800);
});

it('spreads callers of a broken group over the time they have waited, and beyond it', () => {
  // Streams that were sent in the second and a half before a broken group is detected are refused
  // at the same moment, each with a different time left.
  const remaining = [6500, 7000, 7500, 8000];
  const times = remaining.map((one) => retryAfter(RefusalCause.GroupBroken, one, 0));
  expect(Math.max(...times) - Math.min(...times)).toBeGreaterThan(400);
  const likely = (random: number): number =>
    planRetryAfter({
      cause: RefusalCause.GroupBroken,
      remainingMilliseconds: 8000,
      random,
      likelyMilliseconds: 1500,
    });
  expect(likely(0)).toBe(1500);
  expect(likely(0.999)).toBeGreaterThan(2000);
});

it('tells callers to retry after the end of a backoff, spread over time', () => {
  const planned = (random: number): number =>
    planRetryAfter({
      cause: RefusalCause.BackingOff,
      remainingMilliseconds: 8000,
      random,
      likelyMilliseconds: 1500,
    });
  expect(planned(0)).toBe(1500);
  expect(planned(0.999)).toBeGreaterThan(2000);
});

it('tells callers to wait as long as an outage takes once a group has gone silent', () => {
  // For a second and a half after a zone is disconnected nothing reports that the group is stopped.
  // Connections to the other zones fail, and callers that are told to retry in a second do so in
  // vain.
  const short = retryAfter(RefusalCause.BudgetSpent, 8000, 0.5);
  const cause = planRefusalCause(RefusalCause.BudgetSpent, true);
  expect(retryAfter(cause, 8000, 0.5)).toBeGreaterThan(1.8 * short);
  expect(planRefusalCause(RefusalCause.Full, false)).toBe(RefusalCause.Full);
  expect(planRefusalCause(RefusalCause.NoServer, true)).toBe(RefusalCause.NoServer);
});
