import { createSilentLogger } from '@lapisbridge/logger';
import { beforeEach, describe, expect, it } from 'vitest';

import { RetryAfterKind } from './caller-protocol.js';
import type { ResponseHead, StatedRetryAfter } from './caller-protocol.js';
import { refusalWith } from './head-fixture.js';
import { createServerBackoffs } from './server-backoffs.js';
import type { ServerBackoffs } from './server-backoffs.js';

function refusal(retryAfter: StatedRetryAfter, status = 503): ResponseHead {
  return refusalWith({ status, retryAfter, notRun: status === 503 });
}

function after(milliseconds: number): StatedRetryAfter {
  return { kind: RetryAfterKind.Stated, milliseconds };
}

describe('backoffs that servers request', () => {
  let now = 0;
  let backoffs: ServerBackoffs;

  beforeEach(() => {
    now = 1000;
    backoffs = createServerBackoffs(() => now, createSilentLogger());
  });

  it('last as long as requested', () => {
    backoffs.onAnswer('server', refusal(after(3000)));
    now += 2999;
    expect(backoffs.remainingMilliseconds('server')).toBe(1);
    expect(backoffs.remainingMilliseconds('other')).toBe(0);
    now += 1;
    expect(backoffs.remainingMilliseconds('server')).toBe(0);
    expect(backoffs.listActive()).toEqual([]);
  });

  it('are extended by later answers, never shortened or ended', () => {
    backoffs.onAnswer('server', refusal(after(3000)));
    now += 1000;
    backoffs.onAnswer('server', refusal(after(500)));
    backoffs.onAnswer('server', refusal({ kind: RetryAfterKind.None }, 200));
    expect(backoffs.remainingMilliseconds('server')).toBe(2000);
    backoffs.onAnswer('server', refusal(after(4000)));
    expect(backoffs.remainingMilliseconds('server')).toBe(4000);
    expect(backoffs.listActive()).toEqual([{ instanceId: 'server', ageMilliseconds: 1000 }]);
  });

  it('are requested only by a 503 with a readable time above 0', () => {
    backoffs.onAnswer('server', refusal(after(3000), 200));
    backoffs.onAnswer('server', refusal(after(3000), 429));
    backoffs.onAnswer('server', refusal({ kind: RetryAfterKind.Malformed }));
    backoffs.onAnswer('server', refusal(after(0)));
    expect(backoffs.remainingMilliseconds('server')).toBe(0);
  });

  it('are dropped when they have expired, and not before', () => {
    backoffs.onAnswer('server', refusal(after(3000)));
    backoffs.removeExpired();
    expect(backoffs.remainingMilliseconds('server')).toBe(3000);
  });

  it('count the requests that are sent during them', () => {
    backoffs.recordSent('server');
    backoffs.onAnswer('server', refusal(after(3000)));
    backoffs.recordSent('server');
    backoffs.recordSent('other');
    expect(backoffs.requestsSent()).toBe(1);
  });
});
