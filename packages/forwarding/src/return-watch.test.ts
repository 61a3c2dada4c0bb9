import { expect, it } from 'vitest';

import { createReturnWatch } from './return-watch.js';

it('knows a caller that comes back by the time it has left', () => {
  const watch = createReturnWatch();
  expect(watch.isRetry('draft', 8000)).toBe(false);
  expect(watch.isRetry('draft', 7990)).toBe(false);
  expect(watch.isRetry('draft', 5400)).toBe(true);
  expect(watch.isRetry('look-up', 1500)).toBe(false);
  expect(watch.isRetry('draft', undefined)).toBe(false);
});

it('learns from the first caller with all its time after a restart', () => {
  const watch = createReturnWatch();
  expect(watch.isRetry('draft', 5400)).toBe(false);
  expect(watch.isRetry('draft', 8000)).toBe(false);
  expect(watch.isRetry('draft', 5400)).toBe(true);
});
