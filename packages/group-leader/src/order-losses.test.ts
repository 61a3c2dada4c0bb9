import { expect, it } from 'vitest';

import { createLossEstimator } from './order-losses.js';

function setUp(): { estimator: ReturnType<typeof createLossEstimator>; wait(time: number): void } {
  let now = 0;
  return {
    estimator: createLossEstimator(() => now),
    wait(time) {
      now += time;
    },
  };
}

it('expects one round when all or nearly all orders are answered', () => {
  const { estimator } = setUp();
  expect(estimator.expectedRounds(72)).toBe(1);
  estimator.record(200, 1);
  expect(estimator.expectedRounds(72)).toBe(1);
});

it('expects more rounds for more ranks and for a higher loss rate', () => {
  // A tenth of the orders is not answered. With the hold planned for a single round, 7 of 72 ranks
  // are not armed when the group reaches it, and every stream pauses for half a second.
  const few = setUp().estimator;
  few.record(72, 7);
  expect(few.expectedRounds(72)).toBeGreaterThan(few.expectedRounds(8));
  expect(few.expectedRounds(72)).toBe(3);
  const many = setUp().estimator;
  many.record(16, 6);
  expect(many.expectedRounds(16)).toBe(5);
});

it('forgets past losses', () => {
  const { estimator, wait } = setUp();
  estimator.record(72, 7);
  wait(20_000);
  estimator.record(72, 0);
  expect(estimator.expectedRounds(72)).toBe(1);
});

it('is bounded when no order is answered', () => {
  const { estimator } = setUp();
  estimator.record(16, 16);
  expect(estimator.expectedRounds(1000)).toBe(5);
});
