/**
 * Drops backend servers whose address belongs to a server that started later. After a power loss
 * all servers restart with new instance ids, while their old rows stay listed for several
 * heartbeats. A request sent to an old instance is refused by the new one at that address, which
 * uses up the retry budget just when callers reconnect: 32 requests were refused in one such case.
 */
import type { BackendServer } from './types.js';

/** Returns the servers without those that a later one at the same address has replaced. */
export function dropReplacedServers(
  listed: ReadonlyMap<string, BackendServer>,
): ReadonlyMap<string, BackendServer> {
  const latestStartByAddress = new Map<string, number>();
  for (const { host, port, startedAt } of listed.values()) {
    const address = `${host}:${port}`;
    if (startedAt !== undefined) {
      latestStartByAddress.set(
        address,
        Math.max(startedAt, latestStartByAddress.get(address) ?? -Infinity),
      );
    }
  }
  const kept = new Map<string, BackendServer>();
  for (const [instanceId, server] of listed) {
    const { host, port, startedAt } = server;
    // A server that does not state its start time may be the later one.
    const isReplaced =
      startedAt !== undefined && startedAt < (latestStartByAddress.get(`${host}:${port}`) ?? 0);
    if (!isReplaced) kept.set(instanceId, server);
  }
  return kept;
}
