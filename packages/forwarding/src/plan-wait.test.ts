import { expect, it } from 'vitest';

import { callerPatience, planRoomWait, planWait } from './plan-wait.js';
import type { WaitInput } from './plan-wait.js';
import { STREAM_ROUTE } from './stream-route-fixture.js';

function wait(
  idleMilliseconds: number,
  remainingMilliseconds = 8000,
  fields: Partial<WaitInput> = {},
): number {
  return planWait({
    route: STREAM_ROUTE,
    idleMilliseconds,
    remainingMilliseconds,
    hasBegun: false,
    isRetry: true,
    chanceOfReturn: () => 0.9,
    ...fields,
  });
}

it('keeps a stream only as long as its first event can still reach the caller', () => {
  // Callers leave after two seconds without an event. A stream that is kept until then is lost
  // without a word; told before, its caller comes back.
  expect(wait(0)).toBe(1600);
  expect(wait(1600)).toBe(0);
  expect(wait(0, 700)).toBe(300);
});

it('keeps a stream that has begun to the last moment', () => {
  expect(wait(1600, 8000, { hasBegun: true })).toBe(300);
  expect(wait(1900, 8000, { hasBegun: true })).toBe(0);
});

it('sends callers away at once while the group is not likely to be back in time', () => {
  // A rank was cut off a moment ago, in a deployment where that lasts for many seconds. A caller
  // that is kept for most of two seconds and refused then has waited in vain; one that is told at
  // once can act, or comes back when it is worth it.
  const chance = (chanceOfReturn: number, fields: Partial<WaitInput> = {}): number =>
    wait(0, 8000, { chanceOfReturn: () => chanceOfReturn, ...fields });
  const first = { isRetry: false };
  expect(chance(0.2)).toBe(0);
  expect(chance(0.4)).toBe(1600);
  expect(chance(0.4, first)).toBe(0);
  expect(chance(0.5, first)).toBe(1600);
  expect(chance(0.05, { ...first, hasBegun: true })).toBe(1900);
});

it('asks for the chance within the time for which the caller stays', () => {
  const asked: number[] = [];
  wait(300, 8000, {
    chanceOfReturn(within) {
      asked.push(within);
      return 1;
    },
  });
  expect(asked).toEqual([1300]);
});

it('goes by the longest of the times for which callers stay', () => {
  expect(callerPatience({ ...STREAM_ROUTE, latencyObjectiveMilliseconds: 900 })).toBe(3600);
  expect(callerPatience({ ...STREAM_ROUTE, eventGapObjectiveMilliseconds: 400 })).toBe(3200);
});

it('waits for room at a server that comes soon, and refuses where it comes late', () => {
  const room = (
    roomInMilliseconds: number,
    idleMilliseconds = 0,
    remaining = 8000,
    isRetry = false,
  ): number =>
    planRoomWait({
      route: STREAM_ROUTE,
      isRetry,
      idleMilliseconds,
      remainingMilliseconds: remaining,
      roomInMilliseconds,
    });
  expect(room(200)).toBe(200);
  expect(room(900)).toBe(0);
  expect(room(Infinity)).toBe(0);
  // A caller that has waited already is not kept for another turn.
  expect(room(300, 400)).toBe(0);
  // Nor is one that would be gone before its first event.
  expect(room(300, 0, 600)).toBe(0);
  // After an outage all callers of some seconds come back at once. One of them has waited for
  // half a second for a slot when the shares are used up; there is room in 0.6 s, it would stay
  // for 1.4 s more, and it does not come back again.
  expect(room(640, 540, 3500, true)).toBe(640);
  expect(room(1100, 540, 3500, true)).toBe(0);
  expect(room(640, 540, 800, true)).toBe(0);
});
