/**
 * Backend servers whose address a later one has taken. After a loss of power every server starts
 * anew under another id, and the rows of the former ones stay listed for some heartbeats. A
 * request that is sent to a former one is refused by whoever has its address now, which spends
 * the retry budget just when callers come back: 32 of them were refused so in one such moment.
 */
import type { BackendServer } from './types.js';

/** The servers to use: of several at one address, the one that started last. */
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
    // One that does not say when it started may be the later one.
    const isReplaced =
      startedAt !== undefined && startedAt < (latestStartByAddress.get(`${host}:${port}`) ?? 0);
    if (!isReplaced) kept.set(instanceId, server);
  }
  return kept;
}
