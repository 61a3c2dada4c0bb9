/**
 * The parts of a sidecar whose backend server is one rank of a group: the agent that obeys
 * the group's leader, and the leader itself while this sidecar holds the lease.
 */
import type { PlacementPolicy, SidecarSettings } from '@lapisbridge/config';
import type { Instance } from '@lapisbridge/instance';
import { leaseKey } from '@lapisbridge/placement';
import type { LeaseRecord } from '@lapisbridge/placement';
import { BackendServerKind } from '@lapisbridge/types';

import { createGroupLeader } from './group-leader.js';
import { createRankAgent } from './rank-agent.js';
import type { RankAgent } from './rank-agent.js';
import { createRankEngine } from './rank-engine.js';

/** Undefined when the backend server is not a rank. */
export function createRankParts(
  instance: Instance,
  settings: SidecarSettings,
  policy: () => PlacementPolicy,
): RankAgent | undefined {
  const { backendServer, environment } = settings;
  if (backendServer.kind !== BackendServerKind.ModelRunner) return undefined;
  const place = backendServer.rankPlace;
  if (place === undefined) return undefined;
  const engine = createRankEngine(backendServer.url);
  const { kernel, logger, platform } = instance;
  const agent = createRankAgent({
    engine,
    logger,
    async seenFencingNumber() {
      const key = leaseKey(environment, place.group);
      const row = await platform.table.read(key).catch(() => undefined);
      if (row === undefined) return undefined;
      return (row?.value as LeaseRecord | undefined)?.fencingNumber ?? 0;
    },
  });
  kernel.register('rankEngine', { stop: () => engine.close() });
  kernel.register('groupLeader', createGroupLeader({ instance, place, agent, policy }));
  return agent;
}
