import { expect, it } from 'vitest';

import { createReturnWatch } from './return-watch.js';

it('knows a caller that comes back by the time it has left', () => {
  const watch = createReturnWatch();
  expect(watch.hasComeBack('draft', 8000)).toBe(false);
  expect(watch.hasComeBack('draft', 7990)).toBe(false);
  expect(watch.hasComeBack('draft', 5400)).toBe(true);
  expect(watch.hasComeBack('look-up', 1500)).toBe(false);
  expect(watch.hasComeBack('draft', undefined)).toBe(false);
});

it('learns from the first caller with all its time after a restart', () => {
  const watch = createReturnWatch();
  expect(watch.hasComeBack('draft', 5400)).toBe(false);
  expect(watch.hasComeBack('draft', 8000)).toBe(false);
  expect(watch.hasComeBack('draft', 5400)).toBe(true);
});
