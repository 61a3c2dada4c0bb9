/**
 * Keeps a process's shared state up to date. Digests in heartbeats and gossip show which peer may
 * be ahead, and the state is fetched from that peer. A slow, jittered poll of the table is the
 * fallback. Orders accepted while the table was unavailable are written to it later.
 */
import type { Logger } from '@lapisbridge/logger';

import { ordersFingerprint } from './drain-orders.js';
import type { SharedState } from './shared-state.js';
import { peerMayBeAhead } from './state-digest.js';
import type { StateStore } from './state-store.js';

export interface StateSyncOptions {
  readonly environment: string;
  readonly state: SharedState;
  readonly store: StateStore;
  readonly logger: Logger;
  readonly random: () => number;
  readonly pollMilliseconds?: number;
  /** Whether to write orders missing in the table to it: true in entries, false in sidecars. */
  readonly writesOrders: boolean;
}

export interface StateSync {
  start(): Promise<void>;
  stop(): void;
  /** Compares a peer's digest; `fetchState` requests the state from that peer. */
  handlePeerDigest(peerDigest: string, fetchState: () => void): void;
  /** Reads the table now; returns false if a read or write failed. */
  poll(): Promise<boolean>;
}

const POLL_MILLISECONDS = 15_000;
/** Poll period until a first configuration is known. */
const INITIAL_POLL_MILLISECONDS = 500;
/** Minimum time between two fetches, since many peers announce the same version at once. */
const FETCH_INTERVAL_MILLISECONDS = 300;

export function createStateSync(options: StateSyncOptions): StateSync {
  const { environment, state, store, logger } = options;
  const pollMilliseconds = options.pollMilliseconds ?? POLL_MILLISECONDS;
  let pollTimer: NodeJS.Timeout | undefined;
  let stopped = false;
  let lastFetchAt = -Infinity;
  let fetchTimer: NodeJS.Timeout | undefined;

  async function poll(): Promise<boolean> {
    try {
      const stored = await store.readDocument(environment);
      if (stored !== null) {
        state.adopt(stored.version, stored.document.changeId, stored.document.text);
      }
      const orders = await store.readOrders(environment);
      state.mergeOrders(orders);
      const hasUnsavedOrders = ordersFingerprint(state.orders) !== ordersFingerprint(orders);
      if (hasUnsavedOrders && options.writesOrders)
        await store.writeOrders(environment, state.orders);
      return true;
    } catch (thrown) {
      logger.debug('state poll failed', { reason: (thrown as Error).message });
      return false;
    }
  }

  /**
   * Fetches at once, or as soon as the minimum time since the last fetch has passed. If the digest
   * were dropped instead, it would arrive again only with the peer's next heartbeat, seconds later.
   */
  function handlePeerDigest(peerDigest: string, fetchState: () => void): void {
    if (!peerMayBeAhead(state.digest, peerDigest)) return;
    const now = performance.now();
    const delayMilliseconds = lastFetchAt + FETCH_INTERVAL_MILLISECONDS - now;
    if (delayMilliseconds <= 0) {
      lastFetchAt = now;
      fetchState();
      return;
    }
    clearTimeout(fetchTimer);
    fetchTimer = setTimeout(() => handlePeerDigest(peerDigest, fetchState), delayMilliseconds);
  }

  function schedule(): void {
    if (stopped) return;
    const hasConfiguration = state.configuration !== undefined;
    const period = hasConfiguration
      ? pollMilliseconds
      : Math.min(INITIAL_POLL_MILLISECONDS, pollMilliseconds);
    const jittered = period * (0.5 + options.random());
    pollTimer = setTimeout(() => void poll().then(schedule), jittered);
  }

  return {
    async start() {
      await poll();
      schedule();
    },
    stop() {
      stopped = true;
      clearTimeout(pollTimer);
      clearTimeout(fetchTimer);
    },
    handlePeerDigest,
    poll,
  };
}
