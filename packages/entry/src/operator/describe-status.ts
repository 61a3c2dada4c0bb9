/**
 * What an operator sees of an environment through one entry.
 */
import type { Instance } from '@lapisbridge/instance';
import type { DrainOrder } from '@lapisbridge/shared-state';
import type { LoadReport } from '@lapisbridge/types';

import type { LoadedServer } from '../plan-drain-check.js';

export interface InstanceStatus {
  readonly instanceId: string;
  readonly role: string;
  readonly availabilityZone: string;
  readonly state: string;
  /** Configuration version in force there, as last heard. */
  readonly version: number;
  readonly drained: boolean;
  readonly serves?: readonly string[];
  /** Only of sidecars that this entry is connected to. */
  readonly load?: LoadReport;
}

export interface EnvironmentStatus {
  readonly environment: string;
  readonly answeredBy: string;
  readonly version: number;
  readonly changeId: string;
  readonly orders: readonly DrainOrder[];
  readonly instances: readonly InstanceStatus[];
}

function describeSelf({ self, state }: Instance, ready: boolean): InstanceStatus {
  return {
    instanceId: self.instanceId,
    role: self.role,
    availabilityZone: self.availabilityZone,
    state: ready ? 'ready' : 'not ready',
    version: state.configuration?.version ?? 0,
    drained: state.isDrained(self.instanceId, self.availabilityZone),
  };
}

export function describeStatus(
  instance: Instance,
  servers: readonly LoadedServer[],
  ready: boolean,
): EnvironmentStatus {
  const { self, state, membership } = instance;
  const connected = new Map(servers.map((server) => [server.record.instanceId, server]));
  const instances = [describeSelf(instance, ready)];
  for (const member of membership.members()) {
    const { instanceId, role, availabilityZone, backendServer } = member.record;
    const server = connected.get(instanceId);
    instances.push({
      instanceId,
      role,
      availabilityZone,
      state: member.state,
      version: Math.max(member.version, server?.version ?? 0),
      drained: state.isDrained(instanceId, availabilityZone),
      ...(backendServer === undefined ? {} : { serves: backendServer.names }),
      ...(server === undefined ? {} : { load: server.load }),
    });
  }
  return {
    environment: self.environment,
    answeredBy: self.instanceId,
    version: state.configuration?.version ?? 0,
    changeId: state.configuration?.changeId ?? '',
    orders: Object.values(state.orders),
    instances,
  };
}
