/**
 * Backend servers whose rows lapsed while the store was away. They live, and register again
 * within about two seconds of its return; a list read before that lacks them. Dropping them at
 * once would refuse callers although the servers stand idle, so they are kept for that time. One
 * that is still missing afterwards is gone.
 */
import type { BackendServer } from './types.js';

/** Servers register again within about two seconds of the store's return. */
export const LAPSE_MILLISECONDS = 2000;

export interface LapseInput {
  readonly before: ReadonlyMap<string, BackendServer>;
  readonly listed: ReadonlyMap<string, BackendServer>;
  /** Milliseconds since the store came back from an outage; infinite without one. */
  readonly sinceReturn: number;
}

/** The servers to use: those listed, and for a while those that may only have lapsed. */
export function retainLapsed({
  before,
  listed,
  sinceReturn,
}: LapseInput): ReadonlyMap<string, BackendServer> {
  if (sinceReturn >= LAPSE_MILLISECONDS) return listed;
  const kept = new Map(listed);
  const taken = new Set<string>();
  for (const { host, port } of listed.values()) taken.add(`${host}:${port}`);
  for (const [instanceId, server] of before) {
    // An address that another server has now proves that this one is gone.
    const isReplaced = taken.has(`${server.host}:${server.port}`);
    if (!listed.has(instanceId) && !server.draining && !isReplaced) kept.set(instanceId, server);
  }
  return kept;
}
