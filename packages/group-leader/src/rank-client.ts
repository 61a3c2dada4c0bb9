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

import { packMapDelta, packMap, unpackMapDelta, unpackMap } from './pack-map.js';
import type { PackedMapDelta, PackedMap } from './pack-map.js';
import { createPrepareBatcher } from './prepare-batcher.js';
import { requestPrepareForwarding } from './prepare-forwarding.js';
import { RelayPath } from './relay-path.js';

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

/** A map in force. */
export interface VersionedMap {
  readonly version: number;
  readonly map: GroupMap;
}

export interface LeaderOrder {
  readonly fencingNumber: number;
  readonly order: RankOrder;
  /** The map in force, which the ranks' sidecars are likely to know. */
  readonly base: VersionedMap;
}

export interface RankTarget {
  readonly sidecar: RankAddress;
  readonly backendServer: RankAddress;
  /** Entry of the rank's zone that passes orders to prepare on; undefined in a small group. */
  readonly entry?: RankAddress | undefined;
}

export interface RankClient {
  report(target: RankTarget): Promise<RankReport | undefined>;
  map(target: RankTarget): Promise<RankMap | undefined>;
  order(target: RankTarget, relayed: LeaderOrder): Promise<OrderOutcome>;
  /** Does not wait for a host that was found silent, for a while. */
  markUnreachable(host: string): void;
}

type PrepareOrder = Extract<RankOrder, { kind: RankOrderKind.Prepare }>;

/** A leader's order to prepare, on its way to a rank's sidecar. */
export interface PrepareMessage {
  readonly fence: number;
  readonly epoch: number;
  readonly version: number;
  /** Whole, or as changes where the sidecar is likely to know the map in force. */
  readonly map?: PackedMap;
  readonly changes?: PackedMapDelta;
}

export interface DecodedPrepare {
  readonly fencingNumber: number;
  readonly order: PrepareOrder;
}

/** Undefined where the body is no order to prepare, or its base is not known. */
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

/** Written by our own kind; whatever does not unpack is refused. */
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

/** A relayed call crosses a zone twice and waits for the engine: some ten milliseconds. */
const RELAY_TIMEOUT_MILLISECONDS = 180;
/**
 * The same for an order to prepare. Maps for 63 ranks take 0.4 s on a small instance's link; a
 * leader that gives up sooner sends the last of them again and again.
 */
const PREPARE_TIMEOUT_MILLISECONDS = 1000;
/** A rank that did not answer is not waited for again at once: the others go on meanwhile. */
const UNREACHABLE_BACKOFF_MILLISECONDS = 500;
/**
 * A sidecar that did not answer is passed over for this long. Its machine may be frozen, and a
 * leader that waits for it with every question holds a group 0.7 s longer.
 */
const UNRESPONSIVE_SIDECAR_BACKOFF_MILLISECONDS = 500;

/** All ranks are sent the same map: it is packed once. */
interface PackedTarget {
  readonly target: GroupMap;
  readonly map: PackedMap;
  readonly changes: PackedMapDelta;
  /** The order with changes, the same object for all ranks. */
  readonly prepare: PrepareMessage;
}

export interface RankClientOptions {
  readonly engine: RankEngine;
  /** Asks a sidecar for a fresh report by datagram; undefined when no answer came in time. */
  requestReport(sidecar: RankAddress): Promise<RankReport | undefined>;
  now(): number;
}

export function createRankClient({ engine, requestReport, now }: RankClientOptions): RankClient {
  // All ranks are asked several times in a rollout, and a new connection each time would take
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
    if (answer.status !== 200) throw new Error(`the sidecar answered ${answer.status}`);
    return answer.body as T;
  }

  /** Through the rank's sidecar, or straight to its backend server where that is silent. */
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

  /** Through the entry of the rank's zone; undefined where the rank must be reached itself. */
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
    // The sidecar does not know the map in force, or the rank refuses any map.
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
 * Asks the sidecar at an address for its fencing number; undefined when it does not lead. Rejects
 * when no answer came.
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
