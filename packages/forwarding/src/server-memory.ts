/**
 * Tracks the memory in tokens that backend servers state, and finds requests whose prompt exceeds
 * the memory of every server of their service. Intended for prompts that no server can hold: each
 * server refuses them as if it were full, so they would be tried until their deadline passes.
 */
import type { BackendServer } from '@lapisbridge/catalog';

export interface ServerMemory {
  /** Ignores a memory of no tokens, which says nothing. */
  recordReport(instanceId: string, memoryTokens: number): void;
  /** False as long as any server of the service has not stated its memory. */
  exceedsEveryServer(
    service: string,
    servers: Iterable<BackendServer>,
    promptTokens: number,
  ): boolean;
  /** Drops the state of servers that are no longer listed. */
  keepOnly(instanceIds: ReadonlyMap<string, unknown>): void;
}

export function createServerMemory(): ServerMemory {
  const tokensByServer = new Map<string, number>();
  /** At most the smallest memory that is known; saves looking at servers for usual prompts. */
  let smallestTokens = Infinity;

  return {
    recordReport(instanceId, memoryTokens) {
      if (memoryTokens <= 0) return;
      tokensByServer.set(instanceId, memoryTokens);
      smallestTokens = Math.min(smallestTokens, memoryTokens);
    },
    exceedsEveryServer(service, servers, promptTokens) {
      if (promptTokens <= smallestTokens) return false;
      let hasServers = false;
      for (const server of servers) {
        if (server.service !== service) continue;
        const memoryTokens = tokensByServer.get(server.instanceId);
        if (memoryTokens === undefined || promptTokens <= memoryTokens) return false;
        hasServers = true;
      }
      return hasServers;
    },
    keepOnly(instanceIds) {
      smallestTokens = Infinity;
      for (const [instanceId, memoryTokens] of tokensByServer) {
        if (instanceIds.has(instanceId)) smallestTokens = Math.min(smallestTokens, memoryTokens);
        else tokensByServer.delete(instanceId);
      }
    },
  };
}
