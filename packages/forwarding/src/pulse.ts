/**
 * When events last came from each backend server. A stream that is silent may wait for its
 * turn, or its server may be cut off; other streams tell which: events flow from the service
 * while nothing at all comes from this server.
 */
export interface Pulse {
  beat(service: string, instanceId: string): void;
  /** Whether the server is silent while its service is not. */
  isStuck(service: string, instanceId: string, sinceMilliseconds: number): boolean;
}

/** The service counts as alive when another server made an event this lately. */
const ALIVE_MILLISECONDS = 250;

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
  };
}
