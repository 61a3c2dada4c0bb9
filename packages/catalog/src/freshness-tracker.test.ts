import { describe, expect, it } from 'vitest';

import { createFreshnessTracker } from './freshness-tracker.js';
import type { CopyVersion, FreshnessReport } from './freshness-tracker.js';
import { createStoreClock } from './store-clock.js';

const OLDER: CopyVersion = { revision: 5, fingerprint: 'older' };
const NEWER: CopyVersion = { revision: 6, fingerprint: 'newer' };

/**
 * Creates the tracker of an entry that has had one response of the store. Tests set the time; the
 * clocks of entries and of the store show the same.
 */
function startTracker(time: { now: number }) {
  const clock = createStoreClock(() => time.now);
  clock.observe(time.now);
  const tracker = createFreshnessTracker(() => time.now, clock);
  const ageOf = (copy: CopyVersion): number => {
    const confirmedAt = tracker.confirmedAt(copy);
    return confirmedAt === undefined ? Infinity : clock.ageMilliseconds(confirmedAt);
  };
  return {
    ...tracker,
    ageOf,
    report(copy: CopyVersion): FreshnessReport {
      return { ...copy, confirmedAt: tracker.confirmedAt(copy) ?? NaN };
    },
  };
}

function reportOf(copy: CopyVersion, confirmedAt: number): FreshnessReport {
  return { ...copy, confirmedAt };
}

describe('a copy of a table', () => {
  it('is confirmed by the report of a reader, and ages from then on', () => {
    const time = { now: 0 };
    const tracker = startTracker(time);
    expect(tracker.ageOf(OLDER)).toBe(Infinity);
    tracker.onReport('a', reportOf(OLDER, 0));
    time.now += 300;
    expect(tracker.ageOf(OLDER)).toBe(300);
  });

  it('is no fresher than the store’s response, however often the report is relayed', () => {
    // Guards against sending requests to a server that left while the store refused every reader.
    const time = { now: 0 };
    const [relay, follower] = [startTracker(time), startTracker(time)];
    relay.onReport('reader', reportOf(OLDER, -700));
    time.now += 400;
    const told = relay.report(OLDER);
    follower.onReport('relay', told);
    time.now += 200;
    follower.onReport('relay', relay.report(OLDER));
    expect(follower.ageOf(OLDER)).toBe(1300);
  });

  it('ages although entries confirm it to each other, however long their messages take', () => {
    // Guards against entries that consider a copy fresh although the store responds to none.
    const time = { now: 0 };
    const [left, right] = [startTracker(time), startTracker(time)];
    left.onReport('reader', reportOf(OLDER, 0));
    for (let round = 0; round < 40; round += 1) {
      const toRight = left.report(OLDER);
      time.now += 100;
      right.onReport('left', toRight);
      const toLeft = right.report(OLDER);
      time.now += 100;
      left.onReport('right', toLeft);
    }
    expect(left.ageOf(OLDER)).toBe(8000);
    expect(right.ageOf(OLDER)).toBe(8000);
  });

  it('is not confirmed while a reader has a newer one', () => {
    const tracker = startTracker({ now: 0 });
    tracker.onReport('a', reportOf(OLDER, 0));
    tracker.onReport('b', reportOf(NEWER, 0));
    expect(tracker.ageOf(OLDER)).toBe(Infinity);
    expect(tracker.ageOf(NEWER)).toBe(0);
  });

  it('is confirmed again once a reader with a newer one has been gone for a long time', () => {
    // Guards against reading the store forever because a stopped entry once reported a newer copy.
    const time = { now: 0 };
    const tracker = startTracker(time);
    tracker.onReport('b', reportOf(NEWER, 0));
    time.now += 20_000;
    tracker.onReport('a', reportOf(OLDER, time.now));
    expect(tracker.ageOf(OLDER)).toBe(0);
  });

  it('is confirmed by a copy of a later revision with the same content', () => {
    // Guards against a fleet that fetches all tables again whenever an entry starts.
    const tracker = startTracker({ now: 0 });
    tracker.onReport('started', reportOf({ ...OLDER, revision: 9 }, 0));
    expect(tracker.ageOf(OLDER)).toBe(0);
  });

  it('is not confirmed by an older one', () => {
    const tracker = startTracker({ now: 0 });
    tracker.onReport('a', reportOf(OLDER, 0));
    expect(tracker.ageOf(NEWER)).toBe(Infinity);
  });
});
