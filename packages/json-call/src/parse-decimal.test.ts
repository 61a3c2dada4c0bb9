import { expect, it } from 'vitest';

import { LONGEST_BACKOFF_MILLISECONDS, parseDecimal, parseRetryAfter } from './parse-decimal.js';

it('reads decimal numbers and nothing else', () => {
  expect(['0', ' 1.25 ', '.5', '3.'].map(parseDecimal)).toEqual([0, 1.25, 0.5, 3]);
  for (const text of ['', ' ', '-1', '+1', '1e3', '0x10', '1,2', 'NaN', 'Infinity', '.']) {
    expect(parseDecimal(text), text).toBeUndefined();
  }
});

it('reads a backoff in seconds, and cuts what is absurdly long', () => {
  expect(parseRetryAfter('3')).toBe(3000);
  expect(parseRetryAfter('0.25')).toBe(250);
  for (const text of ['301', '9'.repeat(400)]) {
    expect(parseRetryAfter(text)).toBe(LONGEST_BACKOFF_MILLISECONDS);
  }
  expect(parseRetryAfter('Thu, 01 Jan 2026 00:00:00 GMT')).toBeUndefined();
});
