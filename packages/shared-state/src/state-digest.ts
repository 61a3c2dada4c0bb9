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
export function peerIsAhead(own: string, peer: string): boolean {
  const left = parseDigest(own);
  const right = parseDigest(peer);
  return right.version > left.version || right.ordersHash !== left.ordersHash;
}
