import { describe, expect, it } from 'vitest';

import { canAdmitStream, planRecheckDelay } from './plan-queue-admission.js';
import { STREAM_ROUTE } from './stream-route-fixture.js';

const SLOTS = 8;

describe('a stream', () => {
  const input = {
    route: STREAM_ROUTE,
    slots: SLOTS,
    expectedStreams: 9,
    typicalMilliseconds: 300,
    reportAge: 100,
    hasBegun: false,
    isMoved: false,
    isRetry: false,
    idleMilliseconds: 0,
  };

  it('that has started is continued at any server, however long its queue', () => {
    expect(canAdmitStream({ ...input, hasBegun: true, expectedStreams: 30 })).toBe(true);
  });

  it('that was moved from a silent server has priority elsewhere, so it may be queued there', () => {
    // Guards against moved streams that wait from the end of the queue again at every server.
    expect(canAdmitStream({ ...input, isMoved: true, idleMilliseconds: 1000 })).toBe(true);
    expect(canAdmitStream({ ...input, isMoved: true, expectedStreams: 14 })).toBe(false);
  });

  it('that was moved from a silent server is not sent where its caller would leave first', () => {
    // Guards against moving a stream whose caller leaves a moment later.
    const moved = { ...input, isMoved: true, expectedStreams: 0 };
    expect(canAdmitStream({ ...moved, idleMilliseconds: 1600 })).toBe(false);
    expect(canAdmitStream({ ...moved, typicalMilliseconds: 1100 })).toBe(false);
    expect(canAdmitStream({ ...moved, typicalMilliseconds: 0 })).toBe(true);
  });

  it('that is late in any case takes free slots at first, and no place in a queue', () => {
    // Guards against queues of late streams that keep every stream from being in time for seconds.
    for (const late of [{ isRetry: true }, { isRetry: true, idleMilliseconds: 590 }]) {
      expect(canAdmitStream({ ...input, ...late, expectedStreams: 7 })).toBe(true);
      expect(canAdmitStream({ ...input, ...late, expectedStreams: 8 })).toBe(false);
    }
  });

  it('may be queued longer when it is a retry that has waited, for as long as its caller waits', () => {
    expect(canAdmitStream(input)).toBe(false);
    expect(canAdmitStream({ ...input, isRetry: true, idleMilliseconds: 610 })).toBe(true);
    expect(canAdmitStream({ ...input, isRetry: true, idleMilliseconds: 1500 })).toBe(false);
  });

  it('is admitted where reports are missing or old', () => {
    // Sidecars may be slow, or their datagrams lost, while the servers behind them are idle.
    expect(canAdmitStream({ ...input, reportAge: undefined })).toBe(true);
    expect(canAdmitStream({ ...input, reportAge: 1200 })).toBe(true);
  });

  it('is checked again with the next reports, and refused before its caller leaves', () => {
    const wait = (isRetry: boolean, idleMilliseconds: number): number =>
      planRecheckDelay({
        route: STREAM_ROUTE,
        isRetry,
        idleMilliseconds,
        remainingMilliseconds: 5000,
      });
    expect(wait(false, 0)).toBeGreaterThan(0);
    expect(wait(false, 200)).toBe(0);
    expect(wait(true, 1000)).toBeGreaterThan(0);
    expect(wait(true, 1500)).toBe(0);
  });
});
