import { describe, expect, it } from 'vitest';

import { createFreshnessWatch } from './freshness-watch.js';

describe('a copy of a table', () => {
  const clock = { now: 0 };
  const older = { revision: 5, fingerprint: 'older' };
  const newer = { revision: 6, fingerprint: 'newer' };
  const watch = () => createFreshnessWatch(() => clock.now);

  it('is confirmed by the report of a reader, until that grows old', () => {
    const readers = watch();
    expect(readers.freshnessAgeMilliseconds(older)).toBe(Infinity);
    readers.onReport('a', { ...older, ageMilliseconds: 0 });
    clock.now += 300;
    expect(readers.freshnessAgeMilliseconds(older)).toBe(300);
  });

  it('is no fresher than the store’s own answer, however often it is passed on', () => {
    // Guards against sending work to a server that left while the store refused every reader.
    const [relay, follower] = [watch(), watch()];
    relay.onReport('reader', { ...older, ageMilliseconds: 700 });
    clock.now += 400;
    const ageMilliseconds = relay.freshnessAgeMilliseconds(older);
    follower.onReport('relay', { ...older, ageMilliseconds });
    clock.now += 200;
    follower.onReport('relay', { ...older, ageMilliseconds: ageMilliseconds + 200 });
    expect(follower.freshnessAgeMilliseconds(older)).toBe(1300);
  });

  it('is not confirmed while a reader has a newer one', () => {
    const readers = watch();
    readers.onReport('a', { ...older, ageMilliseconds: 0 });
    readers.onReport('b', { ...newer, ageMilliseconds: 0 });
    expect(readers.freshnessAgeMilliseconds(older)).toBe(Infinity);
    expect(readers.freshnessAgeMilliseconds(newer)).toBe(0);
  });

  it('is confirmed again once a reader with a newer one has been gone for long', () => {
    // Guards against reading the store for ever because a dead entry once reported more.
    const readers = watch();
    readers.onReport('b', { ...newer, ageMilliseconds: 0 });
    clock.now += 20_000;
    readers.onReport('a', { ...older, ageMilliseconds: 0 });
    expect(readers.freshnessAgeMilliseconds(older)).toBe(0);
  });

  it('is confirmed by a copy of a later revision with the same content', () => {
    // Guards against a fleet that fetches all tables anew whenever an entry starts.
    const readers = watch();
    readers.onReport('started', { ...older, revision: 9, ageMilliseconds: 0 });
    expect(readers.freshnessAgeMilliseconds(older)).toBe(0);
  });

  it('is not confirmed by an older one', () => {
    const readers = watch();
    readers.onReport('a', { ...older, ageMilliseconds: 0 });
    expect(readers.freshnessAgeMilliseconds(newer)).toBe(Infinity);
  });
});
