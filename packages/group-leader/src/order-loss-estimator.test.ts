import { expect, it } from 'vitest';

import { createLossEstimator } from './order-loss-estimator.js';

function setUp(): { estimator: ReturnType<typeof createLossEstimator>; wait(time: number): void } {
  let now = 0;
  return {
    estimator: createLossEstimator(() => now),
    wait(time) {
      now += time;
    },
  };
}

it('expects one round where every order is answered, or nearly', () => {
  const { estimator } = setUp();
  expect(estimator.expectedRounds(72)).toBe(1);
  estimator.record(200, 1);
  expect(estimator.expectedRounds(72)).toBe(1);
});

it('expects more rounds of more ranks, and of a greater share that is lost', () => {
  // Ranks leave a tenth of their orders unanswered. With the hold planned for one round, 7 of 72
  // ranks are not armed when the group gets there, and every stream pauses for half a second.
  const few = setUp().estimator;
  few.record(72, 7);
  expect(few.expectedRounds(72)).toBeGreaterThan(few.expectedRounds(8));
  expect(few.expectedRounds(72)).toBe(3);
  const many = setUp().estimator;
  many.record(16, 6);
  expect(many.expectedRounds(16)).toBe(5);
});

it('forgets losses that are over', () => {
  const { estimator, wait } = setUp();
  estimator.record(72, 7);
  wait(20_000);
  estimator.record(72, 0);
  expect(estimator.expectedRounds(72)).toBe(1);
});

it('stays bounded when nothing is answered', () => {
  const { estimator } = setUp();
  estimator.record(16, 16);
  expect(estimator.expectedRounds(1000)).toBe(5);
});
