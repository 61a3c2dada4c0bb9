/**
 * Starting and stopping services in order.
 */
import { expect, it } from 'vitest';

import { createKernel } from './index.js';

it('starts nothing more once it stops, and stops what has started', async () => {
  // Guards against listeners that open in a process that is about to end.
  const events: string[] = [];
  let finishStart = (): void => undefined;
  const kernel = createKernel();
  kernel.register('first', {
    start: () => void events.push('first starts'),
    stop: () => void events.push('first stops'),
  });
  kernel.register('slow', {
    start: () =>
      new Promise<void>((resolve) => {
        finishStart = resolve;
      }),
  });
  kernel.register('last', { start: () => void events.push('last starts') });
  const started = kernel.start();
  await Promise.resolve();
  await kernel.stop();
  finishStart();
  await started;
  expect(events).toEqual(['first starts', 'first stops']);
});
