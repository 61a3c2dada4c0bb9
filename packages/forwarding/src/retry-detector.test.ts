import { expect, it } from 'vitest';

import { createRetryDetector } from './retry-detector.js';

it('knows a caller that comes back by the time it has left', () => {
  const detector = createRetryDetector();
  expect(detector.isRetry('draft', 8000)).toBe(false);
  expect(detector.isRetry('draft', 7990)).toBe(false);
  expect(detector.isRetry('draft', 5400)).toBe(true);
  expect(detector.isRetry('look-up', 1500)).toBe(false);
  expect(detector.isRetry('draft', undefined)).toBe(false);
});

it('learns from the first caller with all its time after a restart', () => {
  const detector = createRetryDetector();
  expect(detector.isRetry('draft', 5400)).toBe(false);
  expect(detector.isRetry('draft', 8000)).toBe(false);
  expect(detector.isRetry('draft', 5400)).toBe(true);
});
