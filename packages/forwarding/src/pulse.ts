/**
 * When events last came from each backend server. A stream that is silent may wait for its
 * turn, or its server may be cut off; other streams tell which: events flow from the service
 * while nothing at all comes from this server.
 */
export interface Pulse {
  beat(service: string, instanceId: string): void;
  /** Whether the server is silent while its service is not. */
  isStuck(service: string, instanceId: string, sinceMilliseconds: number): boolean;
  /** Whether a service that made events a moment ago has stopped altogether. */
  hasStopped(service: string): boolean;
  /** Forgets servers that are gone. */
  keepOnly(instanceIds: ReadonlyMap<string, unknown>): void;
}

/** The service counts as alive when another server made an event this lately. */
const ALIVE_MILLISECONDS = 250;
/** Two passes of a crowded group with an uneven map, and more. */
const STOPPED_MILLISECONDS = 600;
/** A service that made no event for this long may just have had nothing to do. */
const IDLE_MILLISECONDS = 5000;

export function createPulse(now: () => number): Pulse {
  const byService = new Map<string, number>();
  const byServer = new Map<string, number>();
  return {
    beat(service, instanceId) {
      byService.set(service, now());
      byServer.set(instanceId, now());
    },
    isStuck(service, instanceId, sinceMilliseconds) {
      const isServiceAlive = now() - (byService.get(service) ?? -Infinity) < ALIVE_MILLISECONDS;
      const isServerSilent = now() - (byServer.get(instanceId) ?? -Infinity) > sinceMilliseconds;
      return isServiceAlive && isServerSilent;
    },
    hasStopped(service) {
      const silence = now() - (byService.get(service) ?? -Infinity);
      return silence > STOPPED_MILLISECONDS && silence < IDLE_MILLISECONDS;
    },
    keepOnly(instanceIds) {
      for (const instanceId of byServer.keys()) {
        if (!instanceIds.has(instanceId)) byServer.delete(instanceId);
      }
    },
  };
}
