import { expect, it } from 'vitest';

import { createOrderLosses } from './order-losses.js';

function losses(): { losses: ReturnType<typeof createOrderLosses>; pass(time: number): void } {
  let now = 0;
  return {
    losses: createOrderLosses(() => now),
    pass(time) {
      now += time;
    },
  };
}

it('expects one round where every order is answered, or nearly', () => {
  const { losses: known } = losses();
  expect(known.rounds(72)).toBe(1);
  known.note(200, 1);
  expect(known.rounds(72)).toBe(1);
});

it('expects more rounds of more ranks, and of a greater share that is lost', () => {
  // Ranks leave a tenth of their orders unanswered. With the hold planned for one round, 7 of 72
  // ranks are not armed when the group gets there, and every stream pauses for half a second.
  const few = losses().losses;
  few.note(72, 7);
  expect(few.rounds(72)).toBeGreaterThan(few.rounds(8));
  expect(few.rounds(72)).toBe(3);
  const many = losses().losses;
  many.note(16, 6);
  expect(many.rounds(16)).toBe(5);
});

it('forgets losses that are over', () => {
  const { losses: known, pass } = losses();
  known.note(72, 7);
  pass(20_000);
  known.note(72, 0);
  expect(known.rounds(72)).toBe(1);
});

it('stays bounded when nothing is answered', () => {
  const { losses: known } = losses();
  known.note(16, 16);
  expect(known.rounds(1000)).toBe(5);
});
