import { describe, expect, it } from 'vitest';

import { drawTimeline, readLogLines, tellStory } from './index.js';

interface Written {
  readonly second: number;
  readonly instance?: string;
  readonly event?: string;
  readonly [field: string]: unknown;
}

function write({ second, instance = 'entry-1', event = 'decision', ...fields }: Written): string {
  const time = new Date(1_000_000 + second * 1000).toISOString();
  return JSON.stringify({ time, level: 'info', instance, availabilityZone: 'a', event, ...fields });
}

function linesOf(...written: Written[]) {
  return readLogLines([{ name: 'log', text: written.map(write).join('\n') }]).lines;
}

describe('reading lines', () => {
  it('skips what gathering tools put before a line, and counts what is none', () => {
    const text = `  12.3 entry-1 ${write({ second: 1 })}\nno line\n\n{"broken\n{"time":"never"}`;
    const { lines, skipped } = readLogLines([{ name: 'log', text }]);
    expect(lines).toHaveLength(1);
    expect(skipped).toBe(3);
  });

  it('puts the lines of several processes in order', () => {
    const late = write({ second: 2, instance: 'entry-2' });
    const early = write({ second: 1 });
    const { lines } = readLogLines([
      { name: 'two', text: late },
      { name: 'one', text: early },
    ]);
    expect(lines.map(({ instance }) => instance)).toEqual(['entry-1', 'entry-2']);
  });
});

describe('the story of a request', () => {
  const lost = { second: 1, event: 'group lost', group: 'g', cause: 'rank 2 in epoch 1' };
  const refusal = { second: 3, kind: 'refusal', subject: 'id', choice: 'groupBroken', reason: 'x' };

  it('names what its entry had lost when it was refused', () => {
    // An engineer has a caller's complaint and its request id, and nothing but logs.
    const story = tellStory(linesOf(lost, refusal), 'id');
    expect(story?.cause).toBe(
      'Refused as not run, since the lock-step group of its backend servers stood still ' +
        '(group g: group lost, rank 2 in epoch 1 2.0 s before).',
    );
    expect(story?.beliefs).toMatchObject([{ matter: 'group g', ageMilliseconds: 2000 }]);
  });

  it('tells that the caller left, and what was lost then', () => {
    // Callers give up before their deadline. Without this line the story ended with a send, as if
    // the process had died.
    const gone = { second: 3, kind: 'gone', subject: 'id', choice: 'caller', reason: 'x' };
    const cause = tellStory(linesOf(lost, { ...gone, facts: { milliseconds: 2000 } }), 'id')?.cause;
    expect(cause).toContain('The caller left after 2000 ms');
    expect(cause).toContain('group lost');
  });

  it('does not blame what another instance had lost, nor what was regained', () => {
    const elsewhere = { ...lost, instance: 'entry-2' };
    const regained = { second: 2, event: 'group regained', group: 'g', cause: 'rank 2 in epoch 2' };
    for (const lines of [linesOf(elsewhere, refusal), linesOf(lost, regained, refusal)]) {
      expect(tellStory(lines, 'id')?.cause).not.toContain('before');
    }
  });

  it('forgets what the process believed before it was restarted', () => {
    const restarted = { second: 2, event: 'started' };
    const story = tellStory(linesOf(lost, restarted, refusal), 'id');
    expect(story?.beliefs).toMatchObject([{ matter: 'process', state: 'started' }]);
  });

  it('says of a failure that the request may have run', () => {
    const failure = {
      second: 2,
      kind: 'failure',
      subject: 'id',
      choice: 'unknown',
      reason: 'reset',
    };
    expect(tellStory(linesOf(failure), 'id')?.cause).toBe('Failed, and may have run: reset.');
  });

  it('tells why an answer was late', () => {
    const facts = { firstEvent: 700, longestPause: 140, sends: 2, milliseconds: 2000 };
    const answer = { second: 2, kind: 'answer', subject: 'id', choice: 'i-1', facts };
    expect(tellStory(linesOf(answer), 'id')?.cause).toBe(
      'Answered by i-1 after 2000 ms; its first event came after 700 ms; ' +
        'it paused for 140 ms; it took 2 sends.',
    );
  });

  it('names the prompt part because of which it was refused', () => {
    const reason = 'prompt part bad is quarantined';
    const refused = { second: 2, kind: 'refusal', subject: 'id', choice: 'quarantined', reason };
    expect(tellStory(linesOf(refused), 'id')?.cause).toContain('prompt part bad is quarantined');
  });

  it('is none for an id that no line names', () => {
    expect(tellStory(linesOf(refusal), 'other')).toBeUndefined();
  });
});

describe('a time line', () => {
  it('ends what a process had lost when it starts anew, and tells later losses apart', () => {
    // An entry loses the store and is replaced before it is back. The new process never lost it, so
    // it tells of no return; the loss would last to the end of the logs and swallow all later ones.
    const lost = { event: 'store lost', reason: 'no answer in time' };
    const regained = { event: 'store regained', reason: '' };
    const lines = linesOf(
      { second: 1, ...lost },
      { second: 1, instance: 'entry-2', ...lost },
      { second: 3, event: 'started' },
      { second: 4, instance: 'entry-2', ...regained },
      { second: 20, ...lost },
      { second: 22, ...regained },
    );
    expect(drawTimeline(lines).periods).toMatchObject([
      { matter: 'store', milliseconds: 3000, instances: ['entry-1', 'entry-2'] },
      { matter: 'store', milliseconds: 2000, instances: ['entry-1'] },
    ]);
  });

  it('joins what several instances lost together, and counts the requests it touched', () => {
    const lost = { event: 'store lost', reason: 'no answer in time' };
    const regained = { event: 'store regained', reason: '' };
    const lines = linesOf(
      { second: 1, ...lost },
      { second: 2, instance: 'entry-2', ...lost },
      { second: 3, kind: 'refusal', subject: 'one', choice: 'noServer' },
      { second: 4, ...regained },
      { second: 5, instance: 'entry-2', kind: 'failure', subject: 'two', choice: 'unknown' },
      { second: 6, instance: 'entry-2', ...regained },
      { second: 7, kind: 'refusal', subject: 'three', choice: 'full' },
    );
    const timeline = drawTimeline(lines);
    expect(timeline.periods).toMatchObject([
      { matter: 'store', milliseconds: 5000, instances: ['entry-1', 'entry-2'] },
    ]);
    expect(timeline.periods[0]).toMatchObject({ refused: 1, failed: 1, examples: ['one', 'two'] });
    expect(timeline).toMatchObject({ requests: 3, refused: 2, failed: 1, unexplained: 1 });
  });

  it('counts improper requests apart, since nothing that was lost explains them', () => {
    const lost = { second: 1, event: 'store lost', reason: 'no answer in time' };
    const unknownKey = { second: 2, kind: 'refusal', subject: 'id', choice: '401' };
    const timeline = drawTimeline(linesOf(lost, unknownKey));
    expect(timeline).toMatchObject({ requests: 1, improper: 1, refused: 0, unexplained: 0 });
    expect(timeline.periods).toMatchObject([{ refused: 0 }]);
  });

  it('shows for how long a backend server stated a rate limit', () => {
    const limit = { event: 'server rate limit', server: 'i-1' };
    const lines = linesOf(
      { second: 1, ...limit, requestsPerSecond: 1.5 },
      { second: 2, instance: 'entry-2', ...limit, requestsPerSecond: 1.5 },
      { second: 5, ...limit, requestsPerSecond: 'none' },
      { second: 6, instance: 'entry-2', ...limit, requestsPerSecond: 'none' },
    );
    expect(drawTimeline(lines).periods).toMatchObject([
      { matter: 'rate limit of i-1', milliseconds: 5000, cause: '1.5 requests a second' },
    ]);
  });

  it('shows for how long a backend server backed off, as it asked', () => {
    const backoff = { event: 'server backoff', server: 'i-1', milliseconds: 3000 };
    const lines = linesOf(
      { second: 1, ...backoff },
      { second: 2, instance: 'entry-2', ...backoff },
      { second: 9, ...backoff, milliseconds: 500 },
    );
    expect(drawTimeline(lines).periods).toMatchObject([
      { matter: 'backoff of i-1', milliseconds: 4000, instances: ['entry-1', 'entry-2'] },
      { matter: 'backoff of i-1', milliseconds: 500, instances: ['entry-1'] },
    ]);
  });

  it('shows which prompt part is quarantined, and the ends of servers that led to it', () => {
    const part = { part: 'bad' };
    const lines = linesOf(
      {
        second: 1,
        event: 'backend server ended',
        server: 'i-1',
        evidence: 'replaced',
        suspects: 'bad',
      },
      {
        second: 6,
        event: 'prompt part quarantined',
        ...part,
        servers: 'i-1@5 by this entry, i-2@6 by entry-2',
      },
      {
        second: 6,
        instance: 'entry-2',
        event: 'prompt part quarantined',
        ...part,
        source: 'entry-1',
      },
      { second: 7, kind: 'refusal', subject: 'id', choice: 'quarantined', reason: 'x' },
      { second: 9, event: 'prompt part released', ...part, reason: 'operator' },
      { second: 9, instance: 'entry-2', event: 'prompt part released', ...part, reason: 'store' },
    );
    expect(drawTimeline(lines).periods).toMatchObject([
      { matter: 'end of i-1', milliseconds: 0, cause: 'replaced, suspects bad' },
      {
        matter: 'quarantine of prompt part bad',
        milliseconds: 3000,
        cause: 'servers ended: i-1@5 by this entry, i-2@6 by entry-2',
        refused: 1,
      },
    ]);
  });

  it('shows which request is quarantined', () => {
    const request = { request: 'r0d' };
    const servers = 'i-1 by this entry, i-2 by entry-2';
    const lines = linesOf(
      { second: 1, event: 'request quarantined', ...request, servers },
      { second: 2, kind: 'refusal', subject: 'id', choice: 'quarantined', reason: 'x' },
      { second: 4, event: 'request released', ...request, reason: 'operator' },
    );
    expect(drawTimeline(lines).periods).toMatchObject([
      {
        matter: 'quarantine of request r0d',
        milliseconds: 3000,
        cause: `servers ended: ${servers}`,
        refused: 1,
      },
    ]);
  });

  it('leaves open what was not regained', () => {
    const lines = linesOf({ second: 1, event: 'group lost', group: 'g', cause: 'refused' });
    expect(drawTimeline(lines).periods).toMatchObject([
      { matter: 'group g', milliseconds: undefined },
    ]);
  });
});
