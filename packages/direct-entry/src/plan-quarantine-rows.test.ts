import type { CrashStatements } from '@lapisbridge/crash-attribution';
import { expect, it } from 'vitest';

import {
  decodeQuarantineRows,
  EMPTY_QUARANTINE,
  planQuarantineRows,
} from './plan-quarantine-rows.js';

const ROW_BYTES = 65_536;
const CRASHES = 64;

function idOf(index: number, length: number): string {
  return index.toString(16).padStart(length, '0');
}

it('fits the evidence of a full ledger into one row', () => {
  // Guards against callers whose requests make every later write of evidence fail.
  const requests = Array.from({ length: 16 }, (_, index) => ({
    digest: `r${idOf(index, 28)}`,
    generation: 9,
  }));
  const known: CrashStatements = {
    crashes: Array.from({ length: CRASHES }, (_, index) => ({
      server: `i-${idOf(index, 10)}@1700000000000`,
      ageMilliseconds: 599_999,
      suspects: Array.from({ length: 32 }, (_part, part) => idOf(index * 32 + part, 12)),
      requests,
      isSilent: false,
      hasSurvived: false,
    })),
    cleared: [],
    quarantined: [],
    released: [],
  };
  const [write] = planQuarantineRows(known, EMPTY_QUARANTINE, 1_000_000);
  expect(write?.value?.length).toBeLessThan(ROW_BYTES);
});

it('removes the row of a request whose quarantine has lapsed', () => {
  const key = `quarantined/r${idOf(1, 28)}`;
  const row = {
    table: 'prompt-crashes',
    part: '',
    key,
    value: Buffer.from(JSON.stringify({ at: 0 })),
    revision: 5,
  };
  const stored = decodeQuarantineRows(new Map([[key, row]]), (storeTime) => 700_000 - storeTime);
  const nothing: CrashStatements = { crashes: [], cleared: [], quarantined: [], released: [] };
  expect(planQuarantineRows(nothing, stored, 700_000)).toEqual([
    { key, value: undefined, expectedRevision: 5 },
  ]);
});
