import { describe, expect, it } from 'vitest';

import type { Crash } from './crash.js';
import { planRequestQuarantine } from './plan-request-quarantine.js';

let count = 0;

/** A crash under requests with these generations. */
function crashAt(endedAt: number, requests: Record<string, number>, parts: string[] = []): Crash {
  count += 1;
  return {
    server: `server-${count}`,
    endedAt,
    suspects: new Set(parts),
    requests: new Map(Object.entries(requests)),
  };
}

function blamed(
  crashes: readonly Crash[],
  cleared: readonly string[] = [],
  quarantined: readonly string[] = [],
): string[] {
  const blames = planRequestQuarantine({
    crashes,
    quarantined: new Set(quarantined),
    isCleared: (cause) => cleared.includes(cause),
    now: 60_000,
  });
  return blames.map(({ cause }) => cause);
}

describe('a request is blamed', () => {
  it.each([
    ['after two ends that follow each other', [crashAt(0, { r1: 1 }), crashAt(25, { r1: 2 })]],
    [
      'beside requests that were lost once',
      [crashAt(0, { r1: 1, r2: 1, r3: 1 }), crashAt(25, { r4: 1, r1: 2 })],
    ],
    [
      'after its third end, whatever else ends',
      [
        ...Array.from({ length: 9 }, (_, index) => crashAt(index, { [`r9${index}`]: 1 })),
        crashAt(0, { r1: 1 }),
        crashAt(25, { r1: 2 }),
        crashAt(50, { r1: 2 }),
      ],
    ],
    [
      'after its third end, although another was lost with it each time',
      [crashAt(0, { r1: 1, r2: 2 }), crashAt(25, { r1: 2 }), crashAt(50, { r1: 2, r2: 1 })],
    ],
  ])('%s', (_what, crashes) => {
    expect(blamed(crashes)).toEqual(['r1']);
  });

  it('after the ends that another one explains', () => {
    const first = [crashAt(0, { r1: 1 }), crashAt(25, { r1: 2 })];
    const second = [crashAt(900, { r2: 1 }), crashAt(925, { r2: 2 })];
    expect(blamed([...first, ...second])).toEqual(['r1', 'r2']);
    expect(blamed([...first, ...second], [], ['r1'])).toEqual(['r2']);
  });
});

describe('a request is not blamed', () => {
  it.each([
    ['after one end', [crashAt(0, { r1: 1 })]],
    [
      'where servers end together under a popular request',
      [0, 5, 10, 15].map((at) => crashAt(at, { r1: 1 })),
    ],
    [
      'after two of three ends',
      [crashAt(0, { r1: 1 }), crashAt(100, { r2: 1 }), crashAt(200, { r1: 2 })],
    ],
    [
      'after two ends that another request shares',
      [crashAt(0, { r1: 1, r2: 1 }), crashAt(25, { r1: 2, r2: 2 })],
    ],
    [
      'for ends that a blamed part explains',
      [crashAt(0, { r1: 1 }, ['bad']), crashAt(25, { r1: 2 }, ['bad'])],
    ],
  ])('%s', (_what, crashes) => {
    expect(blamed(crashes, [], ['bad'])).toEqual([]);
  });

  it('if a server has answered it since', () => {
    // Guards against refusing what many callers ask for while servers end.
    const crashes = [crashAt(0, { r1: 1 }), crashAt(25, { r1: 2 }), crashAt(50, { r1: 3 })];
    expect(blamed(crashes, ['r1'])).toEqual([]);
  });
});
