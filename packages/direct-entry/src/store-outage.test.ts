import { describe, expect, it } from 'vitest';

import { createStoreOutageDetector } from './store-outage.js';
import type { StoreOutageDetector, StoreSilence } from './store-outage.js';

function createDetector(): {
  readonly detector: StoreOutageDetector;
  readonly silences: StoreSilence[];
} {
  const silences: StoreSilence[] = [];
  const detector = createStoreOutageDetector({
    startedAt: 0,
    drainingBoundMilliseconds: () => 4000,
    onSilenceEnd: (silence) => silences.push(silence),
  });
  return { detector, silences };
}

describe('a detector of outages of the store', () => {
  it('dates the return of the store from the last call that failed', () => {
    const { detector } = createDetector();
    detector.onUnavailable(4000);
    detector.onUnavailable(3000);
    detector.onConfirmed(4700);
    expect(detector.returnedAt()).toBe(4000);
    expect(detector.retainUntil()).toBe(6500);
  });

  // Guards against dropping live servers because an entry that seldom calls failed long ago.
  it('dates the return from the confirmation if the last failed call is older than usual', () => {
    const { detector } = createDetector();
    detector.onUnavailable(1000);
    detector.onConfirmed(6000);
    expect(detector.returnedAt()).toBe(5200);
  });

  it('assumes no outage if others were confirmed while calls of this entry failed', () => {
    const { detector, silences } = createDetector();
    for (let at = 500; at <= 6000; at += 500) {
      detector.onUnavailable(at - 100);
      detector.onConfirmed(at);
    }
    expect(silences).toEqual([]);
    expect(detector.retainUntil()).toBe(-Infinity);
  });

  // Guards against taking the silence of the entries that read for this one for an outage.
  it('stays within the draining bound if no call failed', () => {
    const { detector } = createDetector();
    detector.onConfirmed(3100);
    expect(detector.returnedAt()).toBe(-Infinity);
    expect(detector.retainUntil()).toBeLessThan(4000);
  });

  it('adopts an outage that another entry saw during the same silence', () => {
    const { detector } = createDetector();
    detector.onConfirmed(3100);
    detector.onPeerOutageEnd(2900);
    expect(detector.retainUntil()).toBe(5400);
  });

  // Guards against keeping servers at entries in touch because another one was cut off.
  it('ignores an outage that another entry saw while this one was confirmed', () => {
    const { detector } = createDetector();
    for (let at = 500; at <= 5000; at += 500) detector.onConfirmed(at);
    detector.onPeerOutageEnd(4800);
    expect(detector.retainUntil()).toBe(-Infinity);
  });

  it('ignores confirmations that are older than the latest', () => {
    const { detector, silences } = createDetector();
    detector.onConfirmed(1000);
    detector.onConfirmed(200);
    detector.onConfirmed(2900);
    expect(silences).toEqual([]);
  });
});
