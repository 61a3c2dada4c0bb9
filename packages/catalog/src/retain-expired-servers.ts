/**
 * Keeps backend servers whose rows expired during an outage of the store. Such servers are alive
 * and register again within about two seconds after the store recovers; a list read before that
 * lacks them. Dropping them immediately would reject requests although the servers are idle, so
 * they are kept for that time. A server that is still missing afterwards is gone.
 */
import type { BackendServer } from './types.js';

/** Backend servers register again within about two seconds after the store recovers. */
export const REREGISTRATION_MILLISECONDS = 2000;

/** Server lists are by instance id. */
export interface RetainExpiredServersInput {
  /** In use until now. */
  readonly before: ReadonlyMap<string, BackendServer>;
  /** Read from the store. */
  readonly listed: ReadonlyMap<string, BackendServer>;
  /** Milliseconds since the store came back from an outage; infinite without one. */
  readonly sinceRecoveryMilliseconds: number;
}

/** Returns the listed servers and, shortly after an outage, those whose rows may have expired. */
export function retainExpiredServers({
  before,
  listed,
  sinceRecoveryMilliseconds,
}: RetainExpiredServersInput): ReadonlyMap<string, BackendServer> {
  if (sinceRecoveryMilliseconds >= REREGISTRATION_MILLISECONDS) return listed;
  const kept = new Map(listed);
  const taken = new Set<string>();
  for (const { host, port } of listed.values()) taken.add(`${host}:${port}`);
  for (const [instanceId, server] of before) {
    // If another server now has its address, this server is gone.
    const isReplaced = taken.has(`${server.host}:${server.port}`);
    if (!listed.has(instanceId) && !server.draining && !isReplaced) kept.set(instanceId, server);
  }
  return kept;
}
