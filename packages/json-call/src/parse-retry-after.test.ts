import { expect, it } from 'vitest';

import { parseRetryAfter } from './parse-retry-after.js';

it('reads a backoff in seconds, and cuts what is absurdly long', () => {
  expect(parseRetryAfter('3')).toBe(3000);
  expect(parseRetryAfter('0.25')).toBe(250);
  for (const text of ['301', '9'.repeat(400)]) expect(parseRetryAfter(text)).toBe(300_000);
  for (const text of ['soon', '-1', 'Thu, 01 Jan 2026 00:00:00 GMT']) {
    expect(parseRetryAfter(text), text).toBeUndefined();
  }
});
