import { readLogLine } from '@lapisbridge/log-story';
import type { LogLine } from '@lapisbridge/log-story';
import { describe, expect, it } from 'vitest';

import { createReportTally, renderMarkdown, renderPage } from './index.js';
import type { Report } from './index.js';
import { createTimeBins } from './time-bins.js';
import { EndClass, readEnd } from './request-counts.js';
import { createBoundedGroups } from './bounded-groups.js';

const BEGIN = Date.parse('2026-05-04T08:00:00.000Z');

function lineAt(second: number, fields: Readonly<Record<string, unknown>>): LogLine {
  const line = readLogLine(
    JSON.stringify({
      time: new Date(BEGIN + second * 1000).toISOString(),
      instance: 'entry-1',
      availabilityZone: 'brno-a',
      event: 'decision',
      ...fields,
    }),
  );
  if (line === undefined) throw new Error('no log line');
  return line;
}

interface Ended {
  readonly second?: number;
  readonly id: string;
  readonly kind: string;
  readonly choice?: string;
  readonly facts?: Readonly<Record<string, unknown>>;
}

function end({ second = 0, id, kind, choice = 'server-1', facts = {} }: Ended): LogLine {
  return lineAt(second, {
    kind,
    subject: id,
    choice,
    facts: { route: 'drafts', account: 'house', isRetry: false, milliseconds: 0, ...facts },
  });
}

function routed(second: number, id: string, outstanding = 1): LogLine {
  return lineAt(second, {
    kind: 'routing',
    subject: id,
    choice: 'server-1',
    facts: { outstanding },
  });
}

function reportOf(...lines: readonly LogLine[]): Report {
  const tally = createReportTally();
  for (const line of lines) tally.add(line);
  return tally.finish();
}

const IN_TIME = { status: 200, isOnTime: true, firstEvent: 160, longestPause: 70 };

describe('counting ends', () => {
  it('tells why answers were late', () => {
    const late = { ...IN_TIME, isOnTime: false };
    const report = reportOf(
      end({ id: 'a', kind: 'answer', facts: IN_TIME }),
      end({ id: 'b', kind: 'answer', facts: { ...late, lateCause: 'queued' } }),
      end({ id: 'c', kind: 'answer', facts: { ...late, lateCause: 'standstill' } }),
      end({ id: 'd', kind: 'answer', facts: { ...late, lateCause: 'queued' } }),
      end({ id: 'e', kind: 'answer', facts: { ...IN_TIME, isRetry: true } }),
      end({ id: 'f', kind: 'answer', facts: late }),
    );
    expect(report.causes.map(({ name, counts }) => [name, counts[EndClass.Late]])).toEqual([
      ['late: queued', 2],
      ['late: standstill', 1],
      ['late: retry', 1],
      ['late: not told', 1],
    ]);
  });

  it('tells callers that were in time from those that were late, lost or improper', () => {
    const report = reportOf(
      end({ id: 'a', kind: 'answer', facts: IN_TIME }),
      end({ id: 'b', kind: 'answer', facts: { ...IN_TIME, isOnTime: false } }),
      end({ id: 'c', kind: 'answer', facts: { ...IN_TIME, isRetry: true } }),
      end({ id: 'd', kind: 'answer', facts: { status: 500 } }),
      end({ id: 'e', kind: 'refusal', choice: 'crowded' }),
      end({ id: 'f', kind: 'refusal', choice: 'groupBroken', facts: { isRetry: true } }),
      end({ id: 'g', kind: 'refusal', choice: '401' }),
      end({ id: 'h', kind: 'failure', choice: 'timeout' }),
      end({ id: 'i', kind: 'gone', choice: 'caller' }),
    );
    expect(report.counts).toEqual({
      [EndClass.InTime]: 1,
      [EndClass.Late]: 2,
      [EndClass.Refused]: 1,
      [EndClass.RefusedAgain]: 1,
      [EndClass.ServerError]: 1,
      [EndClass.Failed]: 1,
      [EndClass.Gone]: 1,
      [EndClass.Improper]: 1,
    });
    // Two had come back, so that they were counted at their first try; one was improper.
    expect(report.asked).toBe(6);
    expect(report.causes.map(({ name }) => name)).toContain('refusal: groupBroken');
    expect(report.firstEvents.find(({ name }) => name === 'drafts')?.samples).toBe(3);
  });

  it('counts requests without an end, which were lost with the process that had them', () => {
    // An entry loses power: its last tenth of a second of lines, and the ends of all that it had in
    // hand, are nowhere.
    const report = reportOf(
      routed(0, 'a'),
      end({ second: 1, id: 'a', kind: 'answer', facts: IN_TIME }),
      routed(1, 'b'),
    );
    expect(report.unfinished).toBe(1);
    expect(report.asked).toBe(2);
  });

  it('puts a request into the second in which it arrived', () => {
    const late = { ...IN_TIME, isOnTime: false, milliseconds: 4200 };
    const { seconds } = reportOf(end({ second: 5, id: 'a', kind: 'answer', facts: late }));
    expect(seconds.map(({ from }) => from)).toEqual(['2026-05-04T08:00:00.000Z']);
  });

  it('leaves out lines before and after the span asked for', () => {
    const tally = createReportTally({ from: BEGIN + 1000, to: BEGIN + 2000 });
    for (const second of [0, 1, 2, 3]) {
      tally.add(end({ second, id: String(second), kind: 'answer', facts: IN_TIME }));
    }
    expect(tally.finish().counts.inTime).toBe(2);
  });
});

describe('what was lost', () => {
  const change = (second: number, event: string): LogLine =>
    lineAt(second, { event, group: 'g', cause: 'rank 3 in epoch 1' });

  it('tells how long a group was away, and when its map and its callers were well again', () => {
    // After an outage a group runs on its first map, and callers are late until a balanced one is
    // in force and those who waited are served.
    const late = { ...IN_TIME, isOnTime: false };
    const report = reportOf(
      change(1, 'group lost'),
      change(7, 'group regained'),
      lineAt(7.6, { kind: 'rollout', subject: 'epoch 2', choice: 'done' }),
      end({ second: 8, id: 'a', kind: 'answer', facts: late }),
      end({ second: 9, id: 'b', kind: 'answer', facts: IN_TIME }),
      end({ second: 9, id: 'c', kind: 'failure', choice: 'timeout' }),
    );
    expect(report.outages).toMatchObject([
      { matter: 'group g', milliseconds: 6000, toMapMilliseconds: 600, toCalmMilliseconds: 2000 },
    ]);
  });

  it('lists the costliest moments with ids to look up, the lost before the late', () => {
    const lost = { isRetry: true };
    const report = reportOf(
      end({ second: 1, id: 'late', kind: 'answer', facts: { ...IN_TIME, isOnTime: false } }),
      end({ second: 3, id: 'late-too', kind: 'answer', facts: { ...IN_TIME, isOnTime: false } }),
      end({ second: 3, id: 'lost', kind: 'refusal', choice: 'crowded', facts: lost }),
    );
    expect(report.costliest.map(({ cost }) => cost)).toEqual([3, 1]);
    expect(report.costliest[0]?.requestIds).toEqual(['lost', 'late-too']);
  });
});

describe('bounds', () => {
  it('keeps its memory when logs span days, by wider bins', () => {
    const bins = createTimeBins(100);
    for (let second = 0; second < 1000; second += 1) bins.addSend(second * 1000, second % 7);
    const listed = bins.list();
    expect(listed.length).toBeLessThanOrEqual(100);
    expect(listed.reduce((sum, { sends }) => sum + sends, 0)).toBe(1000);
    expect(bins.widthMilliseconds()).toBe(16_000);
  });

  it('counts names beyond its bound as one', () => {
    const groups = createBoundedGroups(() => ({ count: 0 }));
    for (let name = 0; name < 1500; name += 1) groups.at(String(name)).count += 1;
    const listed = groups.list();
    expect(listed).toHaveLength(1001);
    expect(listed.at(-1)).toEqual({ name: 'all others', value: { count: 500 } });
  });
});

describe('rendering', () => {
  it('escapes what logs hold', () => {
    const report = reportOf(
      end({ id: 'a', kind: 'answer', facts: { ...IN_TIME, route: '<b>|x' } }),
    );
    expect(renderMarkdown(report)).toContain('<b>\\|x');
    expect(renderPage(report)).toContain('&lt;b&gt;|x');
    expect(renderPage(report)).not.toContain('<b>|x');
  });

  it('says so when nothing was read', () => {
    expect(renderMarkdown(reportOf())).toContain('no line in the span asked for');
  });
});

it('counts a retry in a log of an earlier version', () => {
  // Guards against old logs in which everybody seems to have been rejected for the first time.
  const line = lineAt(0, { kind: 'refusal', subject: 'a', facts: { hasComeBack: true } });
  expect(readEnd(line)).toMatchObject({ end: EndClass.RefusedAgain, isRetry: true });
});
