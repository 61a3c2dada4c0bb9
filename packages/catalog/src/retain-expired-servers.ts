/**
 * Backend servers whose rows lapsed while the store was away. They live, and register again
 * within about two seconds of its return; a list read before that lacks them. Dropping them at
 * once would refuse callers although the servers stand idle, so they are kept for that time. One
 * that is still missing afterwards is gone.
 */
import type { BackendServer } from './types.js';

/** Servers register again within about two seconds of the store's return. */
export const REREGISTRATION_MILLISECONDS = 2000;

export interface RetainExpiredServersInput {
  readonly before: ReadonlyMap<string, BackendServer>;
  readonly listed: ReadonlyMap<string, BackendServer>;
  /** Milliseconds since the store came back from an outage; infinite without one. */
  readonly sinceRecoveryMilliseconds: number;
}

/** The servers to use: those listed, and for a while those that may only have lapsed. */
export function retainExpiredServers({
  before,
  listed,
  sinceRecoveryMilliseconds,
}: RetainExpiredServersInput): ReadonlyMap<string, BackendServer> {
  if (sinceRecoveryMilliseconds >= REREGISTRATION_MILLISECONDS) return listed;
  const retained = new Map(listed);
  const listedAddresses = new Set<string>();
  for (const { host, port } of listed.values()) listedAddresses.add(`${host}:${port}`);
  for (const [instanceId, server] of before) {
    // An address that another server has now proves that this one is gone.
    const isAddressReused = listedAddresses.has(`${server.host}:${server.port}`);
    if (!listed.has(instanceId) && !server.draining && !isAddressReused)
      retained.set(instanceId, server);
  }
  return retained;
}
