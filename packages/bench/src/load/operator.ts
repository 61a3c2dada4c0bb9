/**
 * What operators and stand-ins can be told and asked during a proof.
 */
import { DrainTargetKind } from '@lapisbridge/types';
import type { LoadReport, ServiceState } from '@lapisbridge/types';
import type { PlatformFaults, ServiceFaults, EngineFaults } from '@lapisbridge/stand-ins';

import { getJson, postJson } from '../site/http-json.js';
import { OPERATOR_TOKEN } from '../site/site.js';
import type { Site } from '../site/site.js';
import { awaitEvent } from './await-event.js';

export interface InstanceView {
  readonly instanceId: string;
  readonly role: string;
  readonly availabilityZone: string;
  readonly state: string;
  readonly version: number;
  readonly load?: LoadReport;
}

export interface StatusView {
  readonly version: number;
  readonly instances: readonly InstanceView[];
}

export interface OrderReply {
  readonly durable: boolean;
}

export interface EngineCounts {
  readonly started: number;
  readonly cancelled: number;
  readonly running: number;
  readonly fallOvers: number;
  readonly highestWhileCold: number;
}

function operatorUrl(site: Site, entry: number): string {
  return site.entries[entry]?.operatorUrl ?? '';
}

export function statusOf(site: Site, entry = 0): Promise<StatusView> {
  return getJson<StatusView>(`${operatorUrl(site, entry)}/v1/status`, OPERATOR_TOKEN);
}

export function orderZone(
  site: Site,
  target: string,
  state: ServiceState,
  entry = 0,
  force = true,
): Promise<OrderReply> {
  const body = { targetKind: DrainTargetKind.AvailabilityZone, target, state, force };
  return postJson<OrderReply>(`${operatorUrl(site, entry)}/v1/orders`, body, OPERATOR_TOKEN);
}

export function platformFaults(site: Site, faults: Partial<PlatformFaults>): Promise<unknown> {
  return postJson(`${site.platformUrl}/faults`, faults);
}

export function serviceFaults(site: Site, faults: Partial<ServiceFaults>): Promise<unknown> {
  return postJson(`${site.effectsUrl}/faults`, faults);
}

export function engineFaults(url: string, faults: Partial<EngineFaults>): Promise<unknown> {
  return postJson(`${url}/faults`, faults);
}

export function engineCounts(url: string): Promise<EngineCounts> {
  return getJson<EngineCounts>(`${url}/counts`);
}

/** Waits until every sidecar of a zone itself says that it drains, or that it does not. */
export async function awaitDraining(
  site: Site,
  zone: string,
  draining: boolean,
): Promise<string[]> {
  return awaitEvent(`${zone} draining: ${draining}`, async () => {
    const { instances } = await statusOf(site);
    const sidecars = instances.filter(
      (one) => one.availabilityZone === zone && one.load !== undefined,
    );
    const all = sidecars.length > 0 && sidecars.every(({ load }) => load?.draining === draining);
    return all ? sidecars.map(({ instanceId }) => instanceId) : undefined;
  });
}
