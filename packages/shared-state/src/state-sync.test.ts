/**
 * Fetching the shared state from peers.
 */
import { createSilentLogger } from '@lapisbridge/logger';
import { createFakeTable } from '@lapisbridge/test-support';
import { describe, expect, it } from 'vitest';

import { createSharedState } from './shared-state.js';
import { createStateStore } from './state-store.js';
import { createStateSync } from './state-sync.js';

describe('a digest of a peer that is ahead', () => {
  it('is not dropped when it arrives right after another fetch', async () => {
    // A drain order and a configuration change follow each other closely. The second digest arrived
    // within the minimum time after the first fetch and was dropped, so the change came into force
    // up to five seconds later.
    const logger = createSilentLogger();
    const sync = createStateSync({
      environment: 'test',
      state: createSharedState('test', logger),
      store: createStateStore(createFakeTable()),
      logger,
      random: () => 0.5,
      writesOrders: false,
    });
    const fetches: string[] = [];
    await new Promise<void>((resolve) => {
      sync.handlePeerDigest('1:x', () => void fetches.push('first'));
      sync.handlePeerDigest('2:x', () => {
        fetches.push('second');
        resolve();
      });
    });
    sync.stop();
    expect(fetches).toEqual(['first', 'second']);
  });
});
