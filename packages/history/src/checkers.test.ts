/**
 * Each checker refuses a bad history and passes a good one.
 */
import { Ran } from '@lapisbridge/types';
import { describe, expect, it } from 'vitest';

import { checkAll, EventKind } from './index.js';
import type { HistoryEvent } from './index.js';

const invoke = { kind: EventKind.Invoke, request: 'r', callKey: 'k' } as const;
const reply = { kind: EventKind.Reply, request: 'r', callKey: 'k', status: 503 } as const;
const effect = { kind: EventKind.Effect, callKey: 'k' } as const;
const answer = { kind: EventKind.Answer, request: 'r', expected: 'one two ' } as const;
const abandoned: HistoryEvent = {
  kind: EventKind.AbandonedArrival,
  instanceId: 'a',
  request: 'r',
};
const crashingArrival: HistoryEvent = {
  kind: EventKind.CrashingArrival,
  instanceId: 'a',
  part: 'p',
};
const soundShare = {
  kind: EventKind.SoundShare,
  part: 'p',
  servedBefore: 20,
  sentBefore: 20,
  servedDuring: 10,
  sentDuring: 20,
} as const;
const handedOver = {
  kind: EventKind.HandedOverShare,
  servedBefore: 20,
  sentBefore: 20,
  servedDuring: 15,
  sentDuring: 20,
} as const;
const step = { kind: EventKind.MapStep, group: 'g', step: 7 } as const;

const bad: [string, string, HistoryEvent[]][] = [
  ['a second execution', 'at most once', [effect, effect]],
  ['a wrong "not run"', 'not run is true', [invoke, effect, { ...reply, ran: Ran.No }]],
  ['a wrong "ran"', 'not run is true', [invoke, { ...reply, ran: Ran.Yes }]],
  ['a gap', 'whole answer', [{ ...answer, text: 'one ', complete: true }]],
  ['a repeat', 'whole answer', [{ ...answer, text: 'one one two ', complete: true }]],
  ['another answer', 'whole answer', [{ ...answer, text: 'six', complete: false, code: 3000 }]],
  ['silence', 'whole answer', [{ ...answer, text: 'one ', complete: false }]],
  [
    'work for a drained server',
    'drained',
    [
      { kind: EventKind.DrainInForce, instanceIds: ['a'] },
      { kind: EventKind.Dispatch, instanceId: 'a' },
    ],
  ],
  ['a cut', 'graceful stop', [{ kind: EventKind.Stopped, instanceId: 'a', cutOff: 1 }]],
  [
    'a version that reverts',
    'configuration',
    [
      { kind: EventKind.ConfigurationSeen, instanceId: 'a', version: 2 },
      { kind: EventKind.ConfigurationSeen, instanceId: 'a', version: 1 },
    ],
  ],
  [
    'a version that does not arrive',
    'configuration',
    [
      { kind: EventKind.ConfigurationAccepted, version: 2 },
      { kind: EventKind.ConfigurationSeen, instanceId: 'a', version: 1 },
      { kind: EventKind.Settled, instanceIds: ['a'] },
    ],
  ],
  [
    'too much for a cold server',
    'cold start',
    [{ kind: EventKind.ColdLoad, instanceId: 'a', highest: 5, bearable: 4 }],
  ],
  [
    'too much for a rate-limited server',
    'rate limit',
    [{ kind: EventKind.RateLimitedLoad, instanceId: 'a', requests: 12, allowed: 11 }],
  ],
  [
    'more retries than the budget',
    'retry budget',
    [{ kind: EventKind.RetryLoad, service: 'a', retries: 12, allowed: 11.8 }],
  ],
  ['work for callers that have left', 'abandonment', Array.from({ length: 4 }, () => abandoned)],
  [
    'a crashing request that is sent on',
    'crashing request',
    [{ kind: EventKind.CrashingRequestArrival, instanceId: 'a', target: '/t' }],
  ],
  ['work for a crashing part', 'crashing part', Array.from({ length: 4 }, () => crashingArrival)],
  [
    'sound requests lost beside a crashing part',
    'sound requests',
    [{ ...soundShare, servedDuring: 9 }],
  ],
  ['an entry that cannot serve alone', 'hand-over', [{ ...handedOver, servedDuring: 14 }]],
  [
    'a sound part that is blamed',
    'blame',
    [{ kind: EventKind.SoundPartBlamed, instanceId: 'a', part: 'p' }],
  ],
  [
    'two maps in one step',
    'one map per step',
    [
      { ...step, rank: 0, mapVersion: 1 },
      { ...step, rank: 1, mapVersion: 2 },
    ],
  ],
];

const good: HistoryEvent[] = [
  invoke,
  { ...reply, ran: Ran.No },
  invoke,
  effect,
  { ...reply, status: 200, ran: Ran.Yes },
  { ...answer, text: 'one two ', complete: true },
  { ...answer, text: 'one ', complete: false, code: 3000 },
  { kind: EventKind.DrainInForce, instanceIds: ['a'] },
  { kind: EventKind.DrainLifted, instanceIds: ['a'] },
  { kind: EventKind.Dispatch, instanceId: 'a' },
  { kind: EventKind.ConfigurationAccepted, version: 1 },
  { kind: EventKind.ConfigurationSeen, instanceId: 'a', version: 1 },
  { kind: EventKind.Settled, instanceIds: ['a'] },
  { kind: EventKind.RateLimitedLoad, instanceId: 'a', requests: 11, allowed: 11 },
  { kind: EventKind.RetryLoad, service: 'a', retries: 11, allowed: 11.2 },
  abandoned,
  abandoned,
  abandoned,
  crashingArrival,
  crashingArrival,
  crashingArrival,
  handedOver,
  soundShare,
  { ...soundShare, sentDuring: 19, servedDuring: 0 },
  { ...step, rank: 0, mapVersion: 1 },
  { ...step, rank: 1, mapVersion: 1 },
];

describe('the checkers', () => {
  it.each(bad)('refuse %s', (_what, promise, events) => {
    expect(checkAll(events).map((violation) => violation.promise)).toEqual([promise]);
  });

  it('pass a good history, in which a refused call runs after it was sent again', () => {
    expect(checkAll(good)).toEqual([]);
  });
});
