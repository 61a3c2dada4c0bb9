import { describe, expect, it } from 'vitest';

import {
  BodyStage,
  MAXIMUM_PAUSE_MILLISECONDS,
  planBodyRelief,
  planEvictions,
  planHeadEvictions,
  STALLED_MILLISECONDS,
} from './plan-eviction.js';
import type { BudgetedBody } from './plan-eviction.js';

const LARGE_BYTES = 1_000_000;

function body(name: string, change: Partial<BudgetedBody>): BudgetedBody & { name: string } {
  return {
    name,
    stage: BodyStage.Receiving,
    heldBytes: LARGE_BYTES,
    sinceProgressMilliseconds: 0,
    pausedMilliseconds: 0,
    ...change,
  };
}

function namesOf(bodies: readonly { readonly name: string }[]): string[] {
  return bodies.map(({ name }) => name);
}

describe('connections to close', () => {
  const connections = [
    { name: 'used, idle long', idleMilliseconds: 9000, hasCompletedRequest: true },
    { name: 'never used, new', idleMilliseconds: 10, hasCompletedRequest: false },
    { name: 'never used, old', idleMilliseconds: 4000, hasCompletedRequest: false },
    { name: 'used, idle briefly', idleMilliseconds: 20, hasCompletedRequest: true },
  ];

  it('are those that never sent a request, and then those that are idle longest', () => {
    expect(namesOf(planEvictions(connections, 3))).toEqual([
      'never used, old',
      'never used, new',
      'used, idle long',
    ]);
  });

  it('are the oldest incomplete heads until the others fit', () => {
    const heads = [
      { name: 'old', headBytes: 60, idleMilliseconds: 500 },
      { name: 'idle', headBytes: 0, idleMilliseconds: 9000 },
      { name: 'new', headBytes: 50, idleMilliseconds: 100 },
    ];
    expect(namesOf(planHeadEvictions(heads, 50))).toEqual(['old']);
    expect(planHeadEvictions(heads, 110)).toEqual([]);
  });
});

describe('bodies that hold too much together', () => {
  const stalled = { sinceProgressMilliseconds: STALLED_MILLISECONDS };
  const paused = { stage: BodyStage.Paused, pausedMilliseconds: 1 };

  it('are left alone within the limit, however long they stand still', () => {
    const bodies = [body('one', { sinceProgressMilliseconds: 60_000 })];
    expect(planBodyRelief(bodies, LARGE_BYTES)).toEqual({ refused: [], resumed: [] });
  });

  it('are refused while they stand still, longest first, and no more than needed', () => {
    const bodies = [
      body('stalled', stalled),
      body('stalled longest', { sinceProgressMilliseconds: 9000 }),
      body('steady', { sinceProgressMilliseconds: STALLED_MILLISECONDS - 1 }),
      body('complete', { stage: BodyStage.Complete, sinceProgressMilliseconds: 9999 }),
    ];
    expect(namesOf(planBodyRelief(bodies, 3 * LARGE_BYTES).refused)).toEqual(['stalled longest']);
    expect(namesOf(planBodyRelief(bodies, LARGE_BYTES).refused)).toEqual([
      'stalled longest',
      'stalled',
    ]);
  });

  it('give way to paused ones that wait for room', () => {
    const bodies = [body('stalled', stalled), body('waiting', paused)];
    const relief = planBodyRelief(bodies, 2 * LARGE_BYTES);
    expect(namesOf(relief.refused)).toEqual(['stalled']);
    expect(namesOf(relief.resumed)).toEqual(['waiting']);
  });

  it('are refused after a pause that lasts too long, and make room for the next', () => {
    const late = { ...paused, pausedMilliseconds: MAXIMUM_PAUSE_MILLISECONDS };
    const bodies = [body('late', late), body('next', paused), body('steady', {})];
    const relief = planBodyRelief(bodies, 2.5 * LARGE_BYTES);
    expect(namesOf(relief.refused)).toEqual(['late']);
    expect(namesOf(relief.resumed)).toEqual(['next']);
  });

  it('include one that may exceed the limit if no other large one is there', () => {
    const bodies = [body('alone', paused), body('small', { heldBytes: 100 })];
    expect(namesOf(planBodyRelief(bodies, LARGE_BYTES / 2).resumed)).toEqual(['alone']);
  });
});
