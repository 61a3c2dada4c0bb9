import { expect, it } from 'vitest';

import { FaultKind } from './plan-faults.js';
import type { Fault } from './plan-faults.js';
import { runSoak } from './run-soak.js';

const SERVERS = 7;
const MILLISECONDS = 12_000;

function onEveryServer(kind: FaultKind, at: number, lasts: number): Fault[] {
  return Array.from({ length: SERVERS }, (_, target) => ({ kind, at, lasts, target }));
}

it.each([
  ['while responses are reset, also within an event', FaultKind.BadAnswers, 18],
  ['while servers end', FaultKind.EndServer, 19],
])(
  'answers that end with their connection are whole or visibly broken %s',
  async (_, kind, network) => {
    // Guards against half an answer that looks complete.
    const faults = [
      ...onEveryServer(FaultKind.CloseDelimited, 500, MILLISECONDS),
      ...Array.from({ length: 24 }, (_unused, index) => ({
        kind,
        at: 1000 + 400 * index,
        lasts: 300,
        target: index,
      })),
    ];
    const result = await runSoak({ seed: 3, milliseconds: MILLISECONDS, faults, network });
    expect(result.violations).toEqual([]);
    expect(result.served).toBeGreaterThan(0);
  },
);
