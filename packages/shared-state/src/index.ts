/**
 * The configuration and the drain orders, replicated to all processes of an environment.
 */
export { mergeOrders, nextCounter, orderKey, ordersFingerprint } from './drain-orders.js';
export type { DrainOrder, DrainOrders } from './drain-orders.js';
export { createSharedState } from './shared-state.js';
export type { Configuration, SharedState } from './shared-state.js';
export { formatDigest, parseDigest, peerMayBeAhead } from './state-digest.js';
export type { StateDigest } from './state-digest.js';
export { ApplyOutcome, createStateStore } from './state-store.js';
export type { ApplyResult, StateStore, StoredChange, StoredDocument } from './state-store.js';
export { createStateSync } from './state-sync.js';
export type { StateSync, StateSyncOptions } from './state-sync.js';
