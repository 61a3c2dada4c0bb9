/**
 * How a leader reaches the ranks of its group. Each rank's sidecar passes questions and orders
 * to prepare on to the backend server beside it, and refuses those of a leader that was
 * replaced. Orders that hold, arm or release go to the backend server directly: a sidecar that
 * freezes between the two would leave the group held. Where a sidecar does not answer, the
 * backend server is called directly too.
 */
import { Agent } from 'node:http';

import { callJson, isObject, numberOf } from '@lapisbridge/json-call';
import type { JsonObject } from '@lapisbridge/json-call';
import { OrderOutcome, RankOrderKind } from '@lapisbridge/placement';
import type { GroupMap, RankOrder, RankReport } from '@lapisbridge/placement';

import { packMap, unpackMap } from './pack-map.js';
import type { PackedMap } from './pack-map.js';

export interface RankAddress {
  readonly host: string;
  readonly port: number;
}

/** Maps that one rank holds: for each set, its experts. */
export interface RankMap {
  readonly version: number;
  readonly experts: readonly (readonly number[])[];
}

/** How often each expert was chosen by this rank's requests, set after set. */
export interface RankCounts {
  readonly epoch: number;
  readonly counts: readonly number[];
}

/** The engine of one rank, reached at its address. Rejects when no answer came. */
export interface RankEngine {
  report(address: RankAddress): Promise<RankReport | undefined>;
  counts(address: RankAddress): Promise<RankCounts | undefined>;
  map(address: RankAddress): Promise<RankMap | undefined>;
  order(address: RankAddress, order: RankOrder): Promise<OrderOutcome>;
}

export enum RelayPath {
  Prepare = '/rank/prepare',
  Report = '/rank/report',
  Map = '/rank/map',
  /** Fencing number of the leader here, if it leads. */
  Leader = '/rank/leader',
}

export interface RelayedOrder {
  readonly fence: number;
  readonly order: RankOrder;
}

export interface RankTarget {
  readonly sidecar: RankAddress;
  readonly backendServer: RankAddress;
}

export interface RankLink {
  report(target: RankTarget): Promise<RankReport | undefined>;
  map(target: RankTarget): Promise<RankMap | undefined>;
  order(target: RankTarget, relayed: RelayedOrder): Promise<OrderOutcome>;
}

type PrepareOrder = Extract<RankOrder, { kind: RankOrderKind.Prepare }>;

/** A leader's order to prepare, on its way to a rank's sidecar. */
export interface PackedPrepare {
  readonly fence: number;
  readonly epoch: number;
  readonly version: number;
  readonly map: PackedMap;
}

export interface RelayedPrepare {
  readonly fence: number;
  readonly order: PrepareOrder;
}

/** Undefined where the body is no order to prepare. */
export function decodePrepare(body: JsonObject): RelayedPrepare | undefined {
  const fence = numberOf(body, 'fence');
  const epoch = numberOf(body, 'epoch');
  const version = numberOf(body, 'version');
  if (fence === undefined || epoch === undefined || version === undefined) return undefined;
  if (!isObject(body.map) || !Array.isArray(body.map.sets)) return undefined;
  // Written by our own kind; whatever does not unpack is refused.
  const map = unpackMap(body.map as unknown as PackedMap);
  if (map === undefined) return undefined;
  return { fence, order: { kind: RankOrderKind.Prepare, epoch, version, map } };
}

/** A relayed call crosses a zone twice and waits for the engine: some ten milliseconds. */
const RELAY_MILLISECONDS = 180;
/**
 * The same for an order to prepare. Maps for 63 ranks take 0.4 s on a small instance's link; a
 * leader that gives up sooner sends the last of them again and again.
 */
const PREPARE_MILLISECONDS = 1000;
/** A rank that did not answer is not waited for again at once: the others go on meanwhile. */
const UNREACHABLE_MILLISECONDS = 500;
/**
 * A sidecar that did not answer is passed over for this long. Its machine may be frozen, and a
 * leader that waits for it with every question holds a group 0.7 s longer.
 */
const SILENT_SIDECAR_MILLISECONDS = 500;

export function createRankLink(engine: RankEngine, now: () => number): RankLink {
  // All ranks are asked several times in a rollout, and a new connection each time would take
  // the leader longer than the answers do.
  const kept = new Agent({ keepAlive: true });
  const unreachableUntil = new Map<string, number>();
  const silentUntil = new Map<string, number>();
  let lastPacked: { readonly map: GroupMap; readonly packed: PackedMap } | undefined;

  async function relay<T>(
    target: RankTarget,
    method: string,
    path: RelayPath,
    body?: PackedPrepare,
  ): Promise<T> {
    const answer = await callJson({
      ...target.sidecar,
      method,
      path,
      body,
      timeoutMilliseconds: body === undefined ? RELAY_MILLISECONDS : PREPARE_MILLISECONDS,
      agent: kept,
    });
    if (answer.status !== 200) throw new Error(`the sidecar answered ${answer.status}`);
    return answer.body as T;
  }

  /** Through the rank's sidecar, or straight to its backend server where that is silent. */
  async function reach<T>(
    target: RankTarget,
    relayed: () => Promise<T>,
    direct: () => Promise<T>,
  ): Promise<T | undefined> {
    const { host } = target.sidecar;
    if ((silentUntil.get(host) ?? 0) < now()) {
      try {
        return await relayed();
      } catch {
        silentUntil.set(host, now() + SILENT_SIDECAR_MILLISECONDS);
      }
    }
    return direct().catch(() => undefined);
  }

  /** All ranks are sent the same map: it is packed once. */
  function packed(order: PrepareOrder): PackedMap {
    if (lastPacked?.map !== order.map) {
      lastPacked = { map: order.map, packed: packMap(order.map) };
    }
    return lastPacked.packed;
  }

  async function report(target: RankTarget): Promise<RankReport | undefined> {
    const { host } = target.backendServer;
    if ((unreachableUntil.get(host) ?? 0) > now()) return undefined;
    const found = await reach(
      target,
      () => relay<RankReport | undefined>(target, 'GET', RelayPath.Report),
      () => engine.report(target.backendServer),
    );
    if (found === undefined) unreachableUntil.set(host, now() + UNREACHABLE_MILLISECONDS);
    else unreachableUntil.delete(host);
    return found;
  }

  return {
    report,
    map: (target) =>
      reach(
        target,
        () => relay<RankMap | undefined>(target, 'GET', RelayPath.Map),
        () => engine.map(target.backendServer),
      ),
    async order(target, { fence, order }) {
      if (order.kind !== RankOrderKind.Prepare) {
        return engine.order(target.backendServer, order).catch(() => OrderOutcome.Unknown);
      }
      const body = { fence, epoch: order.epoch, version: order.version, map: packed(order) };
      const outcome = await reach(
        target,
        async () => {
          const answer = await relay<{ outcome: OrderOutcome }>(
            target,
            'POST',
            RelayPath.Prepare,
            body,
          );
          return answer.outcome;
        },
        () => engine.order(target.backendServer, order),
      );
      return outcome ?? OrderOutcome.Unknown;
    },
  };
}

/** Asks the sidecar at an address whether it leads. */
export async function askLeader(address: RankAddress): Promise<number | undefined> {
  try {
    const answer = await callJson({
      ...address,
      method: 'GET',
      path: RelayPath.Leader,
      body: undefined,
      timeoutMilliseconds: RELAY_MILLISECONDS,
    });
    return numberOf(answer.body, 'fence');
  } catch {
    return undefined;
  }
}
