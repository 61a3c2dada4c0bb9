/**
 * Takes an availability zone or an instance out of service, or back.
 */
import { LapisError, ResultCode } from '@lapisbridge/errors';
import type { Instance } from '@lapisbridge/instance';
import { nextCounter, orderKey } from '@lapisbridge/shared-state';
import type { DrainOrder } from '@lapisbridge/shared-state';
import { DrainTargetKind, ServiceState } from '@lapisbridge/types';
import type { InstanceRecord } from '@lapisbridge/types';

import { planDrainCheck } from '../plan-drain-check.js';
import type { LoadedServer } from '../plan-drain-check.js';

export interface DrainRequest {
  readonly targetKind: DrainTargetKind;
  readonly target: string;
  readonly state: ServiceState;
  /** Drains even if the rest could not carry the load. */
  readonly force: boolean;
}

/** An order in force; `durable` once it is known to stand in the table. */
export interface PlacedOrder extends DrainOrder {
  readonly durable: boolean;
}

function requireTarget(instance: Instance, { targetKind, target }: DrainRequest): void {
  const { state, self, membership } = instance;
  const zones = state.configuration?.document.availabilityZones ?? [];
  const known =
    targetKind === DrainTargetKind.AvailabilityZone
      ? zones.some(({ name }) => name === target)
      : target === self.instanceId || membership.member(target) !== undefined;
  if (known) return;
  throw new LapisError(ResultCode.UnknownTarget, `no ${targetKind} is named ${target}`);
}

function isTarget(record: InstanceRecord, { targetKind, target }: DrainRequest): boolean {
  switch (targetKind) {
    case DrainTargetKind.AvailabilityZone:
      return record.availabilityZone === target;
    case DrainTargetKind.Instance:
      return record.instanceId === target;
    default: {
      const unreachable: never = targetKind;
      return unreachable;
    }
  }
}

function servedNames({ state }: Instance): ReadonlySet<string> {
  const document = state.configuration?.document;
  const served = [...(document?.models ?? []), ...(document?.services ?? [])];
  return new Set(served.map(({ name }) => name));
}

function requireCapacity(
  instance: Instance,
  servers: readonly LoadedServer[],
  request: DrainRequest,
): void {
  if (request.state === ServiceState.InService || request.force) return;
  const shortfalls = planDrainCheck(servers, servedNames(instance), (record) =>
    isTarget(record, request),
  );
  if (shortfalls.length === 0) return;
  const problems = shortfalls.map(({ name, needed, left }) => ({
    path: name,
    message: `${needed} in progress, room for ${left} elsewhere`,
  }));
  throw new LapisError(ResultCode.CapacityShort, 'the rest could not carry it', { problems });
}

export async function orderDrain(
  instance: Instance,
  servers: readonly LoadedServer[],
  request: DrainRequest,
): Promise<PlacedOrder> {
  const { state, store, self, sync } = instance;
  requireTarget(instance, request);
  requireCapacity(instance, servers, request);
  // Orders that other entries have taken may not have arrived here yet. Without them this order
  // could get a counter that loses to an older one, although its operator was told it is in force.
  await sync.poll();
  const order: DrainOrder = {
    targetKind: request.targetKind,
    target: request.target,
    state: request.state,
    counter: nextCounter(state.orders, Date.now()),
    author: self.instanceId,
  };
  // In force here at once; the table comes second, since operators need drains most when the
  // table is down. Until it is written, the order lives in the instances' memory only.
  state.mergeOrders({ [orderKey(order)]: order });
  const durable = await store.writeOrders(self.environment, state.orders);
  return { ...order, durable };
}
