/**
 * Reads from the document in force what this sidecar's backend server may carry.
 */
import { documentSchema } from '@lapisbridge/config';
import type {
  BackendServerSettings,
  EnvironmentDocument,
  Limits,
  PlacementPolicy,
} from '@lapisbridge/config';
import { BackendServerKind } from '@lapisbridge/types';

import type { GatePolicy } from './gate.js';

/** Limits that hold until a first document is known. */
const DEFAULT_LIMITS: Limits = documentSchema.shape.limits.parse({});
const DEFAULT_PLACEMENT: PlacementPolicy = documentSchema.shape.placement.parse({});

export function limitsOf(document: EnvironmentDocument | undefined): Limits {
  return document?.limits ?? DEFAULT_LIMITS;
}

export function placementOf(document: EnvironmentDocument | undefined): PlacementPolicy {
  return document?.placement ?? DEFAULT_PLACEMENT;
}

export function weightOf(document: EnvironmentDocument | undefined, account: string): number {
  return document?.accounts.find(({ name }) => name === account)?.weight ?? 1;
}

/** Undefined when the document names neither the model nor the service. */
export function gatePolicyOf(
  document: EnvironmentDocument | undefined,
  backendServer: BackendServerSettings,
): GatePolicy | undefined {
  if (document === undefined) return undefined;
  const { maximumQueuedRequests, queueMilliseconds, retryAfterMilliseconds } = document.limits;
  const queue = { maximumQueuedRequests, queueMilliseconds, retryAfterMilliseconds };
  switch (backendServer.kind) {
    case BackendServerKind.ModelRunner: {
      const model = document.models.find(({ name }) => backendServer.models.includes(name));
      return model === undefined ? undefined : { ...model, ...queue };
    }
    case BackendServerKind.PlainService: {
      const service = document.services.find(({ name }) => name === backendServer.service);
      if (service === undefined) return undefined;
      return { ...service, ...queue, expectedStepMilliseconds: service.expectedCallMilliseconds };
    }
    default: {
      const unreachable: never = backendServer;
      return unreachable;
    }
  }
}
