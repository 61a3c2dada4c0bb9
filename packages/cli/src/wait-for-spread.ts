/**
 * Shows how far a configuration version has spread, per availability zone, until it is in
 * force at every live instance.
 */
import { setTimeout as sleep } from 'node:timers/promises';

import type { OperatorClient } from './operator-client.js';
import type { InstanceView, StatusView } from './status-view.js';

const POLL_MILLISECONDS = 300;
const LONGEST_MILLISECONDS = 30_000;

export interface ZoneSpread {
  readonly availabilityZone: string;
  readonly inForce: number;
  readonly instances: number;
}

function isCounted({ state }: InstanceView): boolean {
  return state === 'live' || state === 'ready' || state === 'not ready';
}

export function spreadByZone(status: StatusView, version: number): ZoneSpread[] {
  const zones = new Map<string, { inForce: number; instances: number }>();
  for (const instance of status.instances) {
    if (!isCounted(instance)) continue;
    const zone = zones.get(instance.availabilityZone) ?? { inForce: 0, instances: 0 };
    zone.instances += 1;
    if (instance.version >= version) zone.inForce += 1;
    zones.set(instance.availabilityZone, zone);
  }
  const spread: ZoneSpread[] = [];
  for (const [availabilityZone, zone] of [...zones].sort())
    spread.push({ availabilityZone, ...zone });
  return spread;
}

export async function waitForSpread(
  client: OperatorClient,
  version: number,
  show: (spread: readonly ZoneSpread[]) => void,
): Promise<boolean> {
  const rounds = LONGEST_MILLISECONDS / POLL_MILLISECONDS;
  for (let round = 0; round < rounds; round += 1) {
    const spread = spreadByZone(await client.get<StatusView>('/v1/status'), version);
    show(spread);
    if (spread.every(({ inForce, instances }) => inForce === instances)) return true;
    await sleep(POLL_MILLISECONDS);
  }
  return false;
}
