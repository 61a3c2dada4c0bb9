import { expect, it } from 'vitest';

import { planPriority, Urgency, urgencyOf } from './plan-priority.js';
import { STREAM_ROUTE } from './stream-route-fixture.js';

const WAITING = {
  route: STREAM_ROUTE,
  hasBegun: false,
  isMoved: false,
  isRetry: false,
  idleMilliseconds: 0,
};

it('distinguishes streams that can be in time from those that are late in any case', () => {
  expect(urgencyOf(WAITING)).toBe(Urgency.Fresh);
  expect(urgencyOf({ ...WAITING, idleMilliseconds: 300 })).toBe(Urgency.Late);
  expect(urgencyOf({ ...WAITING, isRetry: true })).toBe(Urgency.Late);
  expect(urgencyOf({ ...WAITING, isRetry: true, hasBegun: true })).toBe(Urgency.Begun);
  expect(urgencyOf({ ...WAITING, isMoved: true, idleMilliseconds: 1000 })).toBe(Urgency.Moved);
});

it('ranks streams moved from a stopped server before those queued elsewhere', () => {
  expect(planPriority(3, Urgency.Moved)).toBeLessThan(planPriority(3, Urgency.Fresh));
});

it('ranks started streams before those that can be in time, and these before late ones', () => {
  const order = [Urgency.Begun, Urgency.Fresh, Urgency.Late].map((one) => planPriority(3, one));
  expect(order).toEqual([2, 3, 4]);
});

it('stays within the range of priorities that engines support', () => {
  expect(planPriority(0, Urgency.Begun)).toBe(0);
  expect(planPriority(9, Urgency.Late)).toBe(9);
});
