import { RankOrderKind } from '@lapisbridge/placement';
import type { AddressedOrder } from '@lapisbridge/placement';
import { expect, it } from 'vitest';

import { createOrderThrottle } from './order-throttle.js';

const PREPARE: AddressedOrder = {
  rank: 3,
  order: { kind: RankOrderKind.Prepare, epoch: 1, version: 7, map: { sets: [] } },
};

it('permits a resend at once after an unanswered order, and only after a while otherwise', () => {
  // A third of the orders is lost for some seconds. A map becomes active only once the last rank
  // has prepared it; waiting half a second for each lost order kept the old map for 2.7 and 3.5 s,
  // and every stream was late.
  const clock = { now: 0 };
  const throttle = createOrderThrottle(() => clock.now);
  expect(throttle.tryAcquire(PREPARE)).toBe(true);
  clock.now = 200;
  expect(throttle.tryAcquire(PREPARE)).toBe(false);
  throttle.markUnanswered(PREPARE);
  expect(throttle.tryAcquire(PREPARE)).toBe(true);
  expect(throttle.tryAcquire({ ...PREPARE, rank: 4 })).toBe(true);
  clock.now = 800;
  expect(throttle.tryAcquire(PREPARE)).toBe(true);
});
