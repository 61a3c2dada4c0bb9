import { describe, expect, it } from 'vitest';

import { createReaderWatch } from './reader-watch.js';

const LARGE = 30;

function readersOf(entries: readonly string[], count: number): string[] {
  return entries.filter((own) => {
    const inZone = entries.filter((other) => other !== own);
    return createReaderWatch(own, () => 0).isReader({ inZone, count });
  });
}

describe('reading the store for the others of a zone', () => {
  it('is done by two of a large fleet, and by all of a small one', () => {
    const entries = ['c', 'a', 'e', 'b', 'd'];
    expect(readersOf(entries, LARGE)).toEqual(['a', 'b']);
    expect(readersOf(entries, 6)).toEqual(entries);
  });

  it('is taken up by the next when a reader is not heard any more', () => {
    expect(readersOf(['b', 'c', 'd'], LARGE)).toEqual(['b', 'c']);
  });
});

describe('a copy of the servers’ table', () => {
  const clock = { now: 0 };
  const watch = () => createReaderWatch('own', () => clock.now);

  it('is confirmed by the word of a reader that is up to date, until that grows old', () => {
    const readers = watch();
    expect(readers.sinceConfirmed(5)).toBe(Infinity);
    readers.heard('a', { revision: 5, isCurrent: true });
    clock.now += 300;
    expect(readers.sinceConfirmed(5)).toBe(300);
  });

  it('is not confirmed by a reader that the store does not answer', () => {
    // Both readers of a zone are turned away by the store while a server leaves. Entries that
    // went on trusting them would send it work after it is gone.
    const readers = watch();
    readers.heard('a', { revision: 5, isCurrent: false });
    expect(readers.sinceConfirmed(5)).toBe(Infinity);
  });

  it('is not confirmed while a reader has a newer one', () => {
    const readers = watch();
    readers.heard('a', { revision: 5, isCurrent: true });
    readers.heard('b', { revision: 6, isCurrent: true });
    expect(readers.sinceConfirmed(5)).toBe(Infinity);
    expect(readers.sinceConfirmed(6)).toBe(0);
  });
});
