import { expect, it } from 'vitest';

import { createRetryDetector } from './retry-detector.js';

it('detects a retry by the time that the caller has left', () => {
  const detector = createRetryDetector();
  expect(detector.isRetry('draft', 8000)).toBe(false);
  expect(detector.isRetry('draft', 7990)).toBe(false);
  expect(detector.isRetry('draft', 5400)).toBe(true);
  expect(detector.isRetry('look-up', 1500)).toBe(false);
  expect(detector.isRetry('draft', undefined)).toBe(false);
});

it('learns the full time of a route from the first new caller after a restart', () => {
  const detector = createRetryDetector();
  expect(detector.isRetry('draft', 5400)).toBe(false);
  expect(detector.isRetry('draft', 8000)).toBe(false);
  expect(detector.isRetry('draft', 5400)).toBe(true);
});
