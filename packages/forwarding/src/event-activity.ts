/**
 * Tracks when each backend server last sent an event of a stream. A silent stream may be queued, or
 * its server may be disconnected. Other streams show which: the server is stalled if its service
 * sends events while nothing at all comes from this server.
 */
export interface EventActivity {
  recordEvent(service: string, instanceId: string): void;
  /** Whether the server has been silent for `sinceMilliseconds` while its service has not. */
  isStalled(service: string, instanceId: string, sinceMilliseconds: number): boolean;
  /** Whether a service that sent events recently has stopped altogether. */
  hasServiceStalled(service: string): boolean;
  /** Drops the state of servers that are no longer listed. */
  keepOnly(instanceIds: ReadonlyMap<string, unknown>): void;
}

/** A service is active if any of its servers sent an event within this time. */
const SERVICE_ACTIVE_MILLISECONDS = 250;
/** More than two passes of a fully loaded group with an unbalanced map. */
const SERVICE_STALL_MILLISECONDS = 600;
/** A service without events for this long may simply be idle. */
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
