/** Backend servers for tests. */
import type { BackendServer } from '@lapisbridge/catalog';

/** A healthy server outside of any lock-step group, with the given fields replaced. */
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
