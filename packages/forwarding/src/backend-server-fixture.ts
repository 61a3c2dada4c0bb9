/** Backend servers, for tests of what is known of them. */
import type { BackendServer } from '@lapisbridge/catalog';

/** A sound plain server, but for the given fields. */
export function serverWith(fields: Partial<BackendServer> = {}): BackendServer {
  return {
    instanceId: 'server',
    service: 'service',
    host: '10.0.0.1',
    port: 80,
    availabilityZone: 'zone',
    slots: 4,
    draining: false,
    groupRank: undefined,
    startedAt: 1,
    ...fields,
  };
}
