/**
 * The result-code table in the docs says what the code says.
 */
import { readFileSync } from 'node:fs';

import { describe, expect, it } from 'vitest';

import { RESULT_CODES, ResultCode } from './index.js';

const PAGE = new URL('../../../docs/RESULT-CODES.md', import.meta.url);

describe('docs/RESULT-CODES.md', () => {
  it('lists every code with its name, title, HTTP status, exit status and next step', () => {
    const rows = readFileSync(PAGE, 'utf8')
      .split('\n')
      .filter((line) => /^\| \d/.test(line))
      .map((line) =>
        line
          .split('|')
          .map((cell) => cell.trim())
          .slice(1, -1),
      );
    const expected = Object.entries(RESULT_CODES).map(([code, entry]) => [
      code,
      ResultCode[Number(code)],
      entry.title,
      String(entry.httpStatus),
      String(entry.exitStatus),
      entry.nextStep,
    ]);
    expect(rows).toEqual(expected);
  });

  it('gives no two codes one exit status', () => {
    const statuses = Object.values(RESULT_CODES).map(({ exitStatus }) => exitStatus);
    expect(new Set(statuses).size).toBe(statuses.length);
  });
});
