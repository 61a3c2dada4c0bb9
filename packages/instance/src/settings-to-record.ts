/**
 * Describes this process to the others, from its settings alone.
 */
import type { BackendServerSettings, Settings } from '@lapisbridge/config';
import { BackendServerKind, Role } from '@lapisbridge/types';
import type { BackendServerRecord, InstanceRecord } from '@lapisbridge/types';

function describeBackendServer(settings: BackendServerSettings): BackendServerRecord {
  switch (settings.kind) {
    case BackendServerKind.ModelRunner:
      return {
        kind: settings.kind,
        names: settings.models,
        ...(settings.rankPlace === undefined ? {} : { rankPlace: settings.rankPlace }),
      };
    case BackendServerKind.PlainService:
      return { kind: settings.kind, names: [settings.service] };
    default: {
      const unreachable: never = settings;
      return unreachable;
    }
  }
}

export function settingsToRecord(settings: Settings): InstanceRecord {
  return {
    instanceId: settings.instanceId,
    role: settings.role,
    environment: settings.environment,
    availabilityZone: settings.availabilityZone,
    host: settings.listen.host,
    peerPort: settings.listen.peerPort,
    ...(settings.role === Role.Sidecar
      ? { backendServer: describeBackendServer(settings.backendServer) }
      : {}),
  };
}
