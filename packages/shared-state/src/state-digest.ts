/**
 * A short digest of the shared state, included in every heartbeat and gossip message. It contains
 * the configuration version itself, so that a receiver can tell who is behind.
 */
import createXxhash from 'xxhash-wasm';

import type { DrainOrders } from './drain-orders.js';
import { ordersFingerprint } from './drain-orders.js';

const xxhash = await createXxhash();

export interface StateDigest {
  readonly version: number;
  readonly ordersHash: string;
}

/** Formats a digest as `version:hash`, with the hash of the drain orders in hexadecimal. */
export function formatDigest(version: number, orders: DrainOrders): string {
  return `${version}:${xxhash.h64ToString(ordersFingerprint(orders))}`;
}

export function parseDigest(text: string): StateDigest {
  const [version = '0', ordersHash = ''] = text.split(':');
  return { version: Number(version), ordersHash };
}

/** Whether the peer may have a newer configuration or drain orders that are missing here. */
export function peerMayBeAhead(own: string, peer: string): boolean {
  const ownDigest = parseDigest(own);
  const peerDigest = parseDigest(peer);
  return peerDigest.version > ownDigest.version || peerDigest.ordersHash !== ownDigest.ordersHash;
}
