import { expect, it } from 'vitest';

import { callerPatience, planRoomWait, planWait } from './plan-wait.js';
import type { WaitInput } from './plan-wait.js';
import { STREAM_ROUTE } from './stream-route-fixture.js';

function wait(
  silenceMilliseconds: number,
  remainingMilliseconds = 8000,
  fields: Partial<WaitInput> = {},
): number {
  return planWait({
    route: STREAM_ROUTE,
    silenceMilliseconds,
    remainingMilliseconds,
    hasBegun: false,
    hasComeBack: true,
    brokenForMilliseconds: 4000,
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

it('sends callers away at once while the group cannot be back soon', () => {
  // A rank was cut off a moment ago. A caller that is kept for most of two seconds and refused
  // then has waited in vain; one that is told at once can act, or returns when it is worth it.
  const first = { hasComeBack: false };
  expect(wait(0, 8000, { brokenForMilliseconds: 500 })).toBe(0);
  expect(wait(0, 8000, { brokenForMilliseconds: 2000 })).toBe(1600);
  expect(wait(0, 8000, { ...first, brokenForMilliseconds: 2000 })).toBe(0);
  expect(wait(0, 8000, { ...first, brokenForMilliseconds: 4000 })).toBe(1600);
  expect(wait(0, 8000, { ...first, hasBegun: true, brokenForMilliseconds: 500 })).toBe(1900);
});

it('goes by the longest of the times for which callers stay', () => {
  expect(callerPatience({ ...STREAM_ROUTE, objectiveMilliseconds: 900 })).toBe(3600);
  expect(callerPatience({ ...STREAM_ROUTE, gapMilliseconds: 400 })).toBe(3200);
});

it('waits for room at a server that comes soon, and refuses where it comes late', () => {
  const room = (roomInMilliseconds: number, silenceMilliseconds = 0, remaining = 8000): number =>
    planRoomWait({
      route: STREAM_ROUTE,
      silenceMilliseconds,
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
});
