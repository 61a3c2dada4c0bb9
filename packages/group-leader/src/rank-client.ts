/**
 * Client with which a leader calls the ranks of its group. Each rank's sidecar relays queries and
 * prepare orders to the backend server beside it, and refuses those of a superseded leader. Hold,
 * arm and release orders go directly to the backend server, because a sidecar that freezes while
 * relaying one would leave the group held. When a sidecar does not answer, the backend server is
 * called directly as well.
 */
import { Agent } from 'node:http';

import { callJson, isObject, numberOf } from '@lapisbridge/json-call';
import type { JsonObject } from '@lapisbridge/json-call';
import { OrderOutcome, RankOrderKind } from '@lapisbridge/placement';
import type { GroupMap, RankOrder, RankReport } from '@lapisbridge/placement';

import { packMapDelta, packMap, unpackMapDelta, unpackMap } from './pack-map.js';
import type { PackedMapDelta, PackedMap } from './pack-map.js';
import { createPrepareBatcher } from './prepare-batcher.js';
import { requestPrepareForwarding } from './prepare-forwarding.js';
import { RelayPath } from './relay-path.js';

export interface RankAddress {
  readonly host: string;
  readonly port: number;
}

/** Experts that one rank holds, by set. */
export interface RankMap {
  readonly version: number;
  readonly experts: readonly (readonly number[])[];
}

/**
 * How often this rank's requests selected each expert, set after set. Counted since the rank
 * started.
 */
export interface RankCounts {
  readonly epoch: number;
  readonly counts: readonly number[];
}

/** Calls the engine of a rank at its address. Rejects when no answer arrives. */
export interface RankEngine {
  report(address: RankAddress): Promise<RankReport | undefined>;
  counts(address: RankAddress): Promise<RankCounts | undefined>;
  map(address: RankAddress): Promise<RankMap | undefined>;
  order(address: RankAddress, order: RankOrder): Promise<OrderOutcome>;
}

/** A map with its version. */
export interface VersionedMap {
  readonly version: number;
  readonly map: GroupMap;
}

export interface LeaderOrder {
  readonly fencingNumber: number;
  readonly order: RankOrder;
  /**
   * The active map, which the ranks' sidecars probably know. Prepare orders are sent as differences
   * from it.
   */
  readonly base: VersionedMap;
}

export interface RankTarget {
  readonly sidecar: RankAddress;
  readonly backendServer: RankAddress;
  /** Entry of the rank's zone that forwards prepare orders; undefined in a small group. */
  readonly entry?: RankAddress | undefined;
}

export interface RankClient {
  report(target: RankTarget): Promise<RankReport | undefined>;
  map(target: RankTarget): Promise<RankMap | undefined>;
  order(target: RankTarget, relayed: LeaderOrder): Promise<OrderOutcome>;
  /** Skips all calls to a host that was found unresponsive, for 500 ms. */
  markUnreachable(host: string): void;
}

type PrepareOrder = Extract<RankOrder, { kind: RankOrderKind.Prepare }>;

/** Body of a prepare order on its way to a rank's sidecar. */
export interface PrepareMessage {
  readonly fence: number;
  readonly epoch: number;
  readonly version: number;
  /** Either the complete map, or its changes when the sidecar probably knows the base map. */
  readonly map?: PackedMap;
  readonly changes?: PackedMapDelta;
}

export interface DecodedPrepare {
  readonly fencingNumber: number;
  readonly order: PrepareOrder;
}

/** Undefined when the body is not a prepare order, or when its base map is not known. */
export function decodePrepare(
  body: JsonObject,
  findMap: (version: number) => GroupMap | undefined,
): DecodedPrepare | undefined {
  const fencingNumber = numberOf(body, 'fence');
  const epoch = numberOf(body, 'epoch');
  const version = numberOf(body, 'version');
  if (fencingNumber === undefined || epoch === undefined || version === undefined) return undefined;
  const map = decodeMap(body, findMap);
  if (map === undefined) return undefined;
  return { fencingNumber, order: { kind: RankOrderKind.Prepare, epoch, version, map } };
}

/**
 * Only instances of this program send these messages, so only the outer structure is validated; a
 * map that cannot be unpacked is rejected.
 */
function decodeMap(
  { map, changes }: JsonObject,
  findMap: (version: number) => GroupMap | undefined,
): GroupMap | undefined {
  if (isObject(map) && Array.isArray(map.sets)) return unpackMap(map as unknown as PackedMap);
  if (!isObject(changes) || !Array.isArray(changes.sets)) return undefined;
  const packed = changes as unknown as PackedMapDelta;
  const base = findMap(packed.baseVersion);
  return base === undefined ? undefined : unpackMapDelta(base, packed);
}

/**
 * Timeout of a relayed call. It crosses a zone twice and waits for the engine, which takes some ten
 * milliseconds.
 */
const RELAY_TIMEOUT_MILLISECONDS = 180;
/**
 * Timeout of a prepare order. Maps for 63 ranks take 0.4 s on a small instance's link; with a
 * shorter timeout a leader would send the last of them again and again.
 */
const PREPARE_TIMEOUT_MILLISECONDS = 1000;
/** A rank that did not answer is skipped for this long, so that the other ranks can proceed. */
const UNREACHABLE_BACKOFF_MILLISECONDS = 500;
/**
 * A sidecar that did not answer is bypassed for this long. Its machine may be frozen, and a leader
 * that waits for it in every round holds a group 0.7 s longer.
 */
const UNRESPONSIVE_SIDECAR_BACKOFF_MILLISECONDS = 500;

/**
 * The last target map in its encoded forms. All ranks receive the same map, so it is encoded once.
 */
interface PackedTarget {
  readonly target: GroupMap;
  readonly map: PackedMap;
  readonly changes: PackedMapDelta;
  /** The order as a delta. The same object for all ranks, which the batcher relies on. */
  readonly prepare: PrepareMessage;
}

export interface RankClientOptions {
  readonly engine: RankEngine;
  /**
   * Requests a fresh report from a sidecar by datagram; undefined when no answer arrived in time.
   */
  requestReport(sidecar: RankAddress): Promise<RankReport | undefined>;
  now(): number;
}

export function createRankClient({ engine, requestReport, now }: RankClientOptions): RankClient {
  // All ranks are called several times in a rollout; opening a connection for each call would take
  // the leader longer than the answers do.
  const keepAliveAgent = new Agent({ keepAlive: true });
  const unreachableUntil = new Map<string, number>();
  const unresponsiveUntil = new Map<string, number>();
  let cachedTarget: PackedTarget | undefined;

  async function relay<T>(
    target: RankTarget,
    method: string,
    path: RelayPath,
    body?: PrepareMessage,
  ): Promise<T> {
    const answer = await callJson({
      ...target.sidecar,
      method,
      path,
      body,
      timeoutMilliseconds:
        body === undefined ? RELAY_TIMEOUT_MILLISECONDS : PREPARE_TIMEOUT_MILLISECONDS,
      agent: keepAliveAgent,
    });
    if (answer.status !== 200)
      throw new Error(`unexpected status ${answer.status} from the sidecar`);
    return answer.body as T;
  }

  /**
   * Calls the rank through its sidecar, or its backend server directly when the sidecar is
   * unresponsive.
   */
  async function callWithFallback<T>(
    target: RankTarget,
    relayed: () => Promise<T>,
    direct: () => Promise<T>,
  ): Promise<T | undefined> {
    const { host } = target.sidecar;
    if ((unresponsiveUntil.get(host) ?? 0) < now()) {
      try {
        return await relayed();
      } catch {
        unresponsiveUntil.set(host, now() + UNRESPONSIVE_SIDECAR_BACKOFF_MILLISECONDS);
      }
    }
    return direct().catch(() => undefined);
  }

  function packTarget(
    fencingNumber: number,
    order: PrepareOrder,
    base: VersionedMap,
  ): PackedTarget {
    const { map, epoch, version } = order;
    const known = cachedTarget?.prepare;
    const isKnown =
      cachedTarget?.target === map &&
      cachedTarget.changes.baseVersion === base.version &&
      known?.fence === fencingNumber &&
      known.epoch === epoch &&
      known.version === version;
    if (!isKnown || cachedTarget === undefined) {
      const changes = packMapDelta(base.map, base.version, map);
      const prepare = { fence: fencingNumber, epoch, version, changes };
      cachedTarget = { target: map, map: packMap(map), changes, prepare };
    }
    return cachedTarget;
  }

  const batcher = createPrepareBatcher<PrepareMessage>((entry, hosts, prepare) => {
    const [host = '', port = ''] = entry.split(':');
    const sidecarPort = Number(port);
    return requestPrepareForwarding(
      { host, port: sidecarPort },
      { hosts, sidecarPort, prepare },
      keepAliveAgent,
    );
  }, OrderOutcome.Unknown);

  /**
   * Forwards through the entry of the rank's zone. Undefined when the order has to be sent to the
   * rank itself.
   */
  async function forwardThroughEntry(
    target: RankTarget,
    prepare: PrepareMessage,
  ): Promise<OrderOutcome | undefined> {
    const { entry, sidecar } = target;
    if (entry === undefined || (unresponsiveUntil.get(entry.host) ?? 0) > now()) return undefined;
    try {
      const outcome = await batcher.add(`${entry.host}:${entry.port}`, sidecar.host, prepare);
      return outcome === OrderOutcome.Refused ? undefined : outcome;
    } catch {
      unresponsiveUntil.set(entry.host, now() + UNRESPONSIVE_SIDECAR_BACKOFF_MILLISECONDS);
      return undefined;
    }
  }

  async function relayPrepare(
    target: RankTarget,
    fencingNumber: number,
    order: PrepareOrder,
    base: VersionedMap,
  ): Promise<OrderOutcome> {
    const { epoch, version } = order;
    const { map, changes, prepare } = packTarget(fencingNumber, order, base);
    const forwarded = await forwardThroughEntry(target, prepare);
    if (forwarded !== undefined) return forwarded;
    const send = (body: PrepareMessage): Promise<{ outcome: OrderOutcome }> =>
      relay(target, 'POST', RelayPath.Prepare, body);
    const { outcome } = await send({ fence: fencingNumber, epoch, version, changes });
    if (outcome !== OrderOutcome.Refused) return outcome;
    // Either the sidecar does not know the base map, or the rank refuses any map.
    return (await send({ fence: fencingNumber, epoch, version, map })).outcome;
  }

  function markUnreachable(host: string): void {
    unreachableUntil.set(host, now() + UNREACHABLE_BACKOFF_MILLISECONDS);
  }

  function isMarkedUnreachable({ backendServer }: RankTarget): boolean {
    return (unreachableUntil.get(backendServer.host) ?? 0) > now();
  }

  async function report(target: RankTarget): Promise<RankReport | undefined> {
    const { host } = target.backendServer;
    if (isMarkedUnreachable(target)) return undefined;
    const found = await callWithFallback(
      target,
      async () =>
        (await requestReport(target.sidecar)) ??
        relay<RankReport | undefined>(target, 'GET', RelayPath.Report),
      () => engine.report(target.backendServer),
    );
    if (found === undefined) markUnreachable(host);
    else unreachableUntil.delete(host);
    return found;
  }

  return {
    report,
    markUnreachable,
    async map(target) {
      if (isMarkedUnreachable(target)) return undefined;
      return callWithFallback(
        target,
        () => relay<RankMap | undefined>(target, 'GET', RelayPath.Map),
        () => engine.map(target.backendServer),
      );
    },
    async order(target, { fencingNumber, order, base }) {
      if (order.kind !== RankOrderKind.Prepare) {
        return engine.order(target.backendServer, order).catch(() => OrderOutcome.Unknown);
      }
      const outcome = await callWithFallback(
        target,
        () => relayPrepare(target, fencingNumber, order, base),
        () => engine.order(target.backendServer, order),
      );
      return outcome ?? OrderOutcome.Unknown;
    },
  };
}

/**
 * Queries the fencing number of the sidecar at an address; undefined when it does not lead. Rejects
 * when no answer arrives.
 */
export async function queryLeader(address: RankAddress): Promise<number | undefined> {
  const answer = await callJson({
    ...address,
    method: 'GET',
    path: RelayPath.Leader,
    body: undefined,
    timeoutMilliseconds: RELAY_TIMEOUT_MILLISECONDS,
  });
  return numberOf(answer.body, 'fence');
}
