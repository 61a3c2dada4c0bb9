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

  it('that has begun is continued wherever there is a queue', () => {
    expect(canAdmitStream({ ...input, hasBegun: true, expectedStreams: 30 })).toBe(true);
  });

  it('that was taken from a silent server is served first elsewhere, so it may wait there', () => {
    // Guards against streams that wait their turn again at every server.
    expect(canAdmitStream({ ...input, isMoved: true, idleMilliseconds: 1000 })).toBe(true);
    expect(canAdmitStream({ ...input, isMoved: true, expectedStreams: 14 })).toBe(false);
  });

  it('that was taken from a silent server goes nowhere where its caller would leave', () => {
    // Guards against streams that are moved only to be left a moment later.
    const moved = { ...input, isMoved: true, expectedStreams: 0 };
    expect(canAdmitStream({ ...moved, idleMilliseconds: 1600 })).toBe(false);
    expect(canAdmitStream({ ...moved, typicalMilliseconds: 1100 })).toBe(false);
    expect(canAdmitStream({ ...moved, typicalMilliseconds: 0 })).toBe(true);
  });

  it('may wait longer when its caller has come back, as long as that caller stays', () => {
    expect(canAdmitStream(input)).toBe(false);
    expect(canAdmitStream({ ...input, isRetry: true })).toBe(true);
    expect(canAdmitStream({ ...input, isRetry: true, idleMilliseconds: 1500 })).toBe(false);
  });

  it('is offered where reports are missing or old', () => {
    // Sidecars are slow or their datagrams get lost; the servers behind them stand empty.
    expect(canAdmitStream({ ...input, reportAge: undefined })).toBe(true);
    expect(canAdmitStream({ ...input, reportAge: 1200 })).toBe(true);
  });

  it('is looked at again with the next reports, and given up before its caller leaves', () => {
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
