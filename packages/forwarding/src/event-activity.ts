/**
 * When events last came from each backend server. A stream that is silent may wait for its
 * turn, or its server may be cut off; other streams tell which: events flow from the service
 * while nothing at all comes from this server.
 */
export interface EventActivity {
  recordEvent(service: string, instanceId: string): void;
  /** Whether the server is silent while its service is not. */
  isStalled(service: string, instanceId: string, sinceMilliseconds: number): boolean;
  /** Whether a service that made events a moment ago has stopped altogether. */
  hasServiceStalled(service: string): boolean;
  /** Forgets servers that are gone. */
  keepOnly(instanceIds: ReadonlyMap<string, unknown>): void;
}

/** The service counts as alive when another server made an event this lately. */
const SERVICE_ACTIVE_MILLISECONDS = 250;
/** Two passes of a crowded group with an uneven map, and more. */
const SERVICE_STALL_MILLISECONDS = 600;
/** A service that made no event for this long may just have had nothing to do. */
const SERVICE_IDLE_MILLISECONDS = 5000;

export function createEventActivity(now: () => number): EventActivity {
  const lastEventByService = new Map<string, number>();
  const lastEventByServer = new Map<string, number>();
  return {
    recordEvent(service, instanceId) {
      lastEventByService.set(service, now());
      lastEventByServer.set(instanceId, now());
    },
    isStalled(service, instanceId, sinceMilliseconds) {
      const isServiceAlive =
        now() - (lastEventByService.get(service) ?? -Infinity) < SERVICE_ACTIVE_MILLISECONDS;
      const isServerSilent =
        now() - (lastEventByServer.get(instanceId) ?? -Infinity) > sinceMilliseconds;
      return isServiceAlive && isServerSilent;
    },
    hasServiceStalled(service) {
      const silence = now() - (lastEventByService.get(service) ?? -Infinity);
      return silence > SERVICE_STALL_MILLISECONDS && silence < SERVICE_IDLE_MILLISECONDS;
    },
    keepOnly(instanceIds) {
      for (const instanceId of lastEventByServer.keys()) {
        if (!instanceIds.has(instanceId)) lastEventByServer.delete(instanceId);
      }
    },
  };
}
