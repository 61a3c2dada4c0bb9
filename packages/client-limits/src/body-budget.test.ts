import { createSilentLogger } from '@lapisbridge/logger';
import { beforeEach, describe, expect, it } from 'vitest';

import { createBodyBudget } from './body-budget.js';
import type { BodyAccount, BodyBudget } from './body-budget.js';
import { BodyStage, STALLED_MILLISECONDS } from './plan-eviction.js';
import { createPressureLog, LimitCause } from './pressure-log.js';
import type { PressureLog } from './pressure-log.js';

const LIMITS = {
  connections: 10,
  instanceConnections: 10,
  requests: 10,
  requestsPerConnection: 2,
  bodyBytes: 1_000_000,
  largeBodyBytes: 600_000,
  pausedBodies: 2,
  headBytes: 1000,
};
const SMALL_BYTES = 1000;

let time: number;
let budget: BodyBudget;
let pressure: PressureLog;
let events: string[];

beforeEach(() => {
  time = 0;
  events = [];
  const now = (): number => time;
  pressure = createPressureLog({ logger: createSilentLogger(), now, facts: () => ({}) });
  budget = createBodyBudget({ limits: LIMITS, pressure, now });
});

function open(name: string, expectedBytes = 400_000): BodyAccount {
  const record = (event: string) => (): void => {
    events.push(`${name} ${event}`);
  };
  return budget.open(
    {
      pause: record('paused'),
      resume: record('resumed'),
      refuse: record('refused'),
      expire: record('expired'),
    },
    { expectedBytes, expiresAt: Infinity },
  );
}

function grow(account: BodyAccount, bytes: number): void {
  account.grow(bytes, bytes);
}

function nextImmediate(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

describe('the budget of bodies', () => {
  it('lets a single large body exceed it', () => {
    const alone = open('alone', 5_000_000);
    grow(alone, 5_000_000);
    expect(events).toEqual([]);
    expect(budget.heldBytes()).toBe(5_000_000);
  });

  it('reads small bodies while large ones are paused', () => {
    grow(open('first'), 400_000);
    grow(open('second'), 300_000);
    grow(open('small'), SMALL_BYTES);
    expect(events).toEqual(['second paused']);
  });

  it('reads the oldest paused body to its end, and the next when there is room', async () => {
    const complete = open('complete');
    grow(complete, 400_000);
    complete.complete(400_000);
    const first = open('first');
    const second = open('second');
    time += 100;
    grow(first, 250_000);
    grow(second, 100_000);
    complete.close();
    await nextImmediate();
    expect(events).toEqual(['first paused', 'second paused', 'first resumed', 'second resumed']);
    expect(budget.countsByStage().get(BodyStage.Paused)).toBe(0);
  });

  it('refuses bodies without progress before it pauses others', () => {
    grow(open('stalled'), 400_000);
    time += STALLED_MILLISECONDS;
    grow(open('steady'), 300_000);
    expect(events).toEqual(['stalled refused']);
    expect(pressure.counts().get(LimitCause.BodyBytes)).toBe(1);
  });

  it('refuses a body that would exceed all of it, or that would be one too many to pause', () => {
    grow(open('first'), 550_000);
    grow(open('second'), 60_000);
    grow(open('third'), 60_000);
    grow(open('fourth'), 60_000);
    expect(events).toEqual(['second paused', 'third paused', 'fourth refused']);
    grow(open('fifth'), 500_000);
    expect(events.at(-1)).toBe('fifth refused');
    expect(budget.heldBytes()).toBe(670_000);
  });

  it('forgets a body when its request has ended', () => {
    const body = open('body');
    grow(body, 400_000);
    body.complete(390_000);
    expect(budget.bytesByStage().get(BodyStage.Complete)).toBe(390_000);
    body.close();
    body.close();
    expect(budget.heldBytes()).toBe(0);
  });
});
