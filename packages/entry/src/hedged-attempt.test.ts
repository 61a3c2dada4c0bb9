/**
 * Hedging of idempotent calls.
 */
import { MessageKind } from '@lapisbridge/wire';
import { describe, expect, it } from 'vitest';

import { CallOutcomeKind } from './call-attempt.js';
import type { CallOutcome } from './call-attempt.js';
import { createHedgeTimer } from './hedge-timer.js';
import { runHedged } from './hedged-attempt.js';

const ANSWERED: CallOutcome = {
  kind: CallOutcomeKind.Answered,
  answer: {
    kind: MessageKind.CallAnswer,
    requestId: 'r',
    attempt: 1,
    status: 200,
    contentType: 'text/plain',
    body: Buffer.alloc(0),
    replayed: false,
  },
};
const LOST: CallOutcome = { kind: CallOutcomeKind.Lost };

interface Trial {
  readonly outcomes: Readonly<Record<string, Promise<CallOutcome>>>;
  readonly budget: boolean;
}

async function attempt({
  outcomes,
  budget,
}: Trial): Promise<{ name: string; cancelled: string[] }> {
  const cancelled: string[] = [];
  const { instanceId } = await runHedged(
    {
      run: (name) => outcomes[name] ?? Promise.resolve(LOST),
      second: () => (budget ? { instanceId: 'b', attempt: 2 } : undefined),
      cancel: (name) => void cancelled.push(name),
      hedgeAfterMilliseconds: 1,
    },
    'a',
    1,
  );
  return { name: instanceId, cancelled };
}

const never = new Promise<CallOutcome>(() => {});
const answered = Promise.resolve(ANSWERED);

describe('a late idempotent call', () => {
  it('is answered by a second server, and the first is told to stop', async () => {
    // One server has stalled without dying. Nine of ten callers are served as usual, and the tenth
    // would wait for its whole deadline.
    const trial = { outcomes: { a: never, b: answered }, budget: true };
    expect(await attempt(trial)).toEqual({ name: 'b', cancelled: ['a'] });
  });

  it('waits for the first when the second one fails', async () => {
    let answer = (_outcome: CallOutcome): void => undefined;
    const late = new Promise<CallOutcome>((resolve) => {
      answer = resolve;
    });
    const pending = attempt({ outcomes: { a: late, b: Promise.resolve(LOST) }, budget: true });
    setTimeout(() => answer(ANSWERED), 20);
    expect(await pending).toEqual({ name: 'a', cancelled: [] });
  });

  it('is not sent twice without budget', async () => {
    let answer = (_outcome: CallOutcome): void => undefined;
    const late = new Promise<CallOutcome>((resolve) => {
      answer = resolve;
    });
    const pending = attempt({ outcomes: { a: late, b: answered }, budget: false });
    setTimeout(() => answer(ANSWERED), 20);
    expect(await pending).toEqual({ name: 'a', cancelled: [] });
  });
});

describe('the time after which a call is late', () => {
  it('is the 95th percentile, once enough answers were seen', () => {
    const timer = createHedgeTimer();
    for (let answer = 1; answer < 100; answer += 1) timer.observe('s', answer);
    expect(timer.hedgeAfter('s')).toBeUndefined();
    timer.observe('s', 100);
    expect(timer.hedgeAfter('s')).toBeGreaterThanOrEqual(94);
    expect(timer.hedgeAfter('s')).toBeLessThanOrEqual(96);
  });
});
