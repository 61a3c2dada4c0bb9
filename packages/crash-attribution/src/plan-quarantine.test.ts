import { describe, expect, it } from 'vitest';

import { planQuarantine } from './plan-quarantine.js';
import type { Crash } from './crash.js';

let count = 0;

function crashAt(endedAt: number, ...suspects: string[]): Crash {
  count += 1;
  return { server: `server-${count}`, endedAt, suspects: new Set(suspects), requests: new Map() };
}

function blamed(
  crashes: readonly Crash[],
  cleared: readonly string[] = [],
  now = 60_000,
): string[] {
  const blames = planQuarantine({
    crashes,
    quarantined: new Set(),
    isCleared: (part) => cleared.includes(part),
    now,
  });
  return blames.map(({ cause }) => cause);
}

describe('a prompt part is blamed', () => {
  it.each([
    ['after two crashes with no other suspect', [crashAt(0, 'bad'), crashAt(4000, 'bad')]],
    [
      'where it is what two crashes have in common',
      [crashAt(0, 'bad', 'a'), crashAt(4000, 'b', 'bad')],
    ],
    [
      'after three crashes with two other suspects each',
      [crashAt(0, 'bad', 'a', 'b'), crashAt(4000, 'bad', 'c', 'd'), crashAt(8000, 'bad', 'e', 'f')],
    ],
  ])('%s', (_what, crashes) => {
    expect(blamed(crashes)).toEqual(['bad']);
  });

  it('beside parts of all requests, which answered requests clear', () => {
    const crashes = [crashAt(0, 'first', 'bad', 'a'), crashAt(4000, 'first', 'bad', 'b')];
    expect(blamed(crashes, ['first'])).toEqual(['bad']);
  });

  it('by the fifth crash where each has as many suspects', () => {
    const crashes = Array.from({ length: 5 }, (_, index) =>
      crashAt(index * 1000, 'bad', `a${index}`, `b${index}`, `c${index}`, `d${index}`),
    );
    expect(blamed(crashes)).toEqual(['bad']);
  });

  it('with another one, each by its own crashes', () => {
    const crashes = [
      crashAt(0, 'bad', 'worse'),
      crashAt(4000, 'bad'),
      crashAt(8000, 'worse'),
      crashAt(12_000, 'bad', 'worse'),
      crashAt(16_000, 'worse'),
      crashAt(20_000, 'bad'),
    ];
    expect(blamed(crashes).sort()).toEqual(['bad', 'worse']);
  });

  it('together with one that only ever comes with it, after more crashes', () => {
    const crashes = [0, 1000, 2000, 3000].map((at) => crashAt(at, 'bad', 'companion'));
    expect(blamed(crashes.slice(0, 3))).toEqual([]);
    expect(blamed(crashes)).toEqual(['bad']);
  });
});

describe('a prompt part is not blamed', () => {
  it.each([
    ['for one crash', [crashAt(0, 'a')]],
    [
      'for servers that end at the same time',
      [crashAt(0, 'a'), crashAt(300, 'a'), crashAt(500, 'a')],
    ],
    ['for crashes without it in common', [crashAt(0, 'a'), crashAt(4000, 'b')]],
    [
      'where other servers end at the same times without it',
      [
        crashAt(0, 'a'),
        crashAt(100, 'b'),
        crashAt(200, 'c'),
        crashAt(4000, 'a'),
        crashAt(4100, 'd'),
      ],
    ],
    [
      'where servers end in between without it',
      [crashAt(0, 'a', 'b'), crashAt(4000, 'c'), crashAt(8000, 'a', 'd')],
    ],
    [
      'where too many others are as suspect',
      [crashAt(0, 'a', 'b', 'c'), crashAt(4000, 'a', 'd', 'e')],
    ],
  ])('%s', (_what, crashes) => {
    expect(blamed(crashes)).toEqual([]);
  });

  it('for crashes that a blamed part explains', () => {
    // Guards against blaming what is lost beside the culprit.
    const crashes = [
      crashAt(0, 'bad'),
      crashAt(4000, 'bad'),
      crashAt(8000, 'bad', 'a'),
      crashAt(12_000, 'a', 'bad'),
    ];
    expect(blamed(crashes)).toEqual(['bad']);
  });

  it('before others had the time to clear it', () => {
    const crashes = [crashAt(0, 'a'), crashAt(4000, 'a')];
    expect(blamed(crashes, [], 4999)).toEqual([]);
    expect(blamed(crashes, [], 5000)).toEqual(['a']);
  });
});
