import { expect, it } from 'vitest';

import { callerPatienceMilliseconds, planRoomWait, planGroupWait } from './plan-wait.js';
import type { GroupWaitInput } from './plan-wait.js';
import { STREAM_ROUTE } from './stream-route-fixture.js';

function wait(
  idleMilliseconds: number,
  remainingMilliseconds = 8000,
  fields: Partial<GroupWaitInput> = {},
): number {
  return planGroupWait({
    route: STREAM_ROUTE,
    idleMilliseconds,
    remainingMilliseconds,
    hasBegun: false,
    isRetry: true,
    chanceOfReturn: () => 0.9,
    ...fields,
  });
}

it('holds a stream only as long as its first event can still reach the caller', () => {
  // Callers leave after two seconds without an event. A stream that is held until then is lost;
  // refused before, its caller retries.
  expect(wait(0)).toBe(1600);
  expect(wait(1600)).toBe(0);
  expect(wait(0, 700)).toBe(300);
});

it('holds a started stream until the last moment', () => {
  expect(wait(1600, 8000, { hasBegun: true })).toBe(300);
  expect(wait(1900, 8000, { hasBegun: true })).toBe(0);
});

it('refuses callers at once while the group is not likely to recover in time', () => {
  // A rank was just disconnected, in a deployment where that lasts for many seconds. A caller that
  // is held for most of two seconds and then refused has waited in vain; one that is refused at
  // once can react, or retry when it is worth it.
  const chance = (chanceOfReturn: number, fields: Partial<GroupWaitInput> = {}): number =>
    wait(0, 8000, { chanceOfReturn: () => chanceOfReturn, ...fields });
  const first = { isRetry: false };
  expect(chance(0.2)).toBe(0);
  expect(chance(0.4)).toBe(1600);
  expect(chance(0.4, first)).toBe(0);
  expect(chance(0.5, first)).toBe(1600);
  expect(chance(0.05, { ...first, hasBegun: true })).toBe(1900);
});

it('uses the probability within the time for which the caller waits', () => {
  const asked: number[] = [];
  wait(300, 8000, {
    chanceOfReturn(within) {
      asked.push(within);
      return 1;
    },
  });
  expect(asked).toEqual([1300]);
});

it('uses the longest of the times for which callers wait', () => {
  expect(callerPatienceMilliseconds({ ...STREAM_ROUTE, latencyObjectiveMilliseconds: 900 })).toBe(
    3600,
  );
  expect(callerPatienceMilliseconds({ ...STREAM_ROUTE, eventGapObjectiveMilliseconds: 400 })).toBe(
    3200,
  );
});

it('waits for a server that takes the stream soon, and refuses if it takes it late', () => {
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
  // A caller that has already waited is not held again.
  expect(room(300, 400)).toBe(0);
  // Nor is one that would leave before its first event.
  expect(room(300, 0, 600)).toBe(0);
  // After an outage the callers of some seconds retry at once. One of them has waited for half a
  // second for a slot when the shares are used up; a server takes it in 0.6 s, it would wait 1.4 s
  // more, and it does not retry again.
  expect(room(640, 540, 3500, true)).toBe(640);
  expect(room(1100, 540, 3500, true)).toBe(0);
  expect(room(640, 540, 800, true)).toBe(0);
});
