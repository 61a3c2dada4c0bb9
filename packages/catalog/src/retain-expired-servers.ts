/**
 * Keeps backend servers whose rows may have expired during an outage of the store. Such servers are
 * alive and register again shortly after the store returns; a list read before that lacks them.
 * Dropping them immediately would reject requests although the servers are idle.
 */
import type { BackendServer } from './types.js';

/** Server lists are by instance id. */
export interface RetainExpiredServersInput {
  /** In use until now. */
  readonly before: ReadonlyMap<string, BackendServer>;
  /** Read from the store. */
  readonly listed: ReadonlyMap<string, BackendServer>;
  /** Whether the list may have been read before all live servers had registered again. */
  readonly isIncomplete: boolean;
}

/** Returns the listed servers and, if others may be alive, those that were in use. */
export function retainExpiredServers({
  before,
  listed,
  isIncomplete,
}: RetainExpiredServersInput): ReadonlyMap<string, BackendServer> {
  if (!isIncomplete) return listed;
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
