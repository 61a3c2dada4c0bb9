/**
 * A short digest of the shared state that rides on every heartbeat and gossip message. The
 * configuration version stands in clear, so that a receiver knows who is behind.
 */
import createXxhash from 'xxhash-wasm';

import type { DrainOrders } from './drain-orders.js';
import { ordersFingerprint } from './drain-orders.js';

const xxhash = await createXxhash();

export interface StateDigest {
  readonly version: number;
  readonly ordersHash: string;
}

export function formatDigest(version: number, orders: DrainOrders): string {
  return `${version}:${xxhash.h64ToString(ordersFingerprint(orders))}`;
}

export function parseDigest(text: string): StateDigest {
  const [version = '0', ordersHash = ''] = text.split(':');
  return { version: Number(version), ordersHash };
}

/** Whether the peer with this digest may know something that we do not. */
export function peerMayBeAhead(own: string, peer: string): boolean {
  const ownDigest = parseDigest(own);
  const peerDigest = parseDigest(peer);
  return peerDigest.version > ownDigest.version || peerDigest.ordersHash !== ownDigest.ordersHash;
}
