/**
 * HTTP listener of a sidecar for the leader of its group: relays orders and queries to the backend
 * server beside it. Orders of a superseded leader are refused here, so that two leaders never
 * control one rank alternately.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server } from 'node:http';

import { BodyEndKind } from '@lapisbridge/client-limits';
import type { ClientGuard } from '@lapisbridge/client-limits';
import { parseObject } from '@lapisbridge/json-call';
import { monotonicClock } from '@lapisbridge/kernel';
import type { Logger } from '@lapisbridge/logger';
import { OrderOutcome } from '@lapisbridge/placement';
import type { GroupMap } from '@lapisbridge/placement';

import { decodePrepare } from './rank-client.js';
import type { RankAddress, RankEngine } from './rank-client.js';
import { RelayPath } from './relay-path.js';

export interface RankRelayOptions {
  readonly backendServer: RankAddress;
  readonly engine: RankEngine;
  readonly logger: Logger;
  /** The map of a newly formed group (version 0); undefined until it is known. */
  initialGroupMap(): GroupMap | undefined;
  /** Records a leader's fencing number; false when a higher one is known. */
  acceptFencingNumber(fencingNumber: number): boolean;
  /** Fencing number of this sidecar while it leads its group. */
  ownFencingNumber(): number | undefined;
}

export interface RelayListenerOptions extends RankRelayOptions {
  readonly host: string;
  readonly port: number;
  readonly guard: ClientGuard;
}

export interface RankRelay {
  /**
   * Handles a leader's call and returns the response body, to be encoded as JSON; undefined for an
   * unknown path. Rejects when the backend server does not answer a query.
   */
  handle(path: string | undefined, body: Buffer): Promise<unknown>;
}

/** Longer than the usual pause between two rollouts. */
const KEEP_ALIVE_TIMEOUT_MILLISECONDS = 30_000;
/** The active map, the one being prepared, and one that was abandoned. */
const REMEMBERED_MAPS = 3;
const MAXIMUM_ORDER_BYTES = 4 * 1024 * 1024;
/** Time in which a leader must have sent an order; it waits no longer for the outcome. */
const RECEIVE_MILLISECONDS = 5000;

export function createRankRelay(options: RankRelayOptions): RankRelay {
  const { engine, backendServer, logger } = options;
  const knownMaps = new Map<number, GroupMap>();

  function findMap(version: number): GroupMap | undefined {
    return version === 0 ? options.initialGroupMap() : knownMaps.get(version);
  }

  /** Stores a map as the base for later map deltas. */
  function remember(version: number, map: GroupMap): void {
    knownMaps.set(version, map);
    const oldest = Math.min(...knownMaps.keys());
    if (knownMaps.size > REMEMBERED_MAPS) knownMaps.delete(oldest);
  }

  async function relayPrepare(body: Buffer): Promise<unknown> {
    const prepare = parseObject(body);
    const relayed = prepare === undefined ? undefined : decodePrepare(prepare, findMap);
    if (relayed === undefined) return { outcome: OrderOutcome.Refused };
    const { fencingNumber, order } = relayed;
    if (!options.acceptFencingNumber(fencingNumber)) return { outcome: OrderOutcome.Fenced };
    remember(order.version, order.map);
    const outcome = await engine.order(backendServer, order).catch(() => OrderOutcome.Unknown);
    logger.decision({
      kind: 'rank order',
      subject: `map ${order.version}`,
      choice: order.kind,
      reason: outcome,
      facts: { fence: fencingNumber, epoch: order.epoch },
    });
    return { outcome };
  }

  return {
    async handle(path, body) {
      switch (path) {
        case RelayPath.Prepare:
          return relayPrepare(body);
        case RelayPath.Report:
          return engine.report(backendServer);
        case RelayPath.Map:
          return engine.map(backendServer);
        case RelayPath.Leader:
          return { fence: options.ownFencingNumber() };
        default:
          return undefined;
      }
    },
  };
}

/** Starts listening. The server stays open until the process ends. */
export function startRelayListener(options: RelayListenerOptions): Server {
  const { guard, logger } = options;
  const relay = createRankRelay(options);

  async function handle(incoming: IncomingMessage): Promise<unknown> {
    const received = await guard.readBody(incoming, {
      maximumBytes: MAXIMUM_ORDER_BYTES,
      expiresAt: monotonicClock() + RECEIVE_MILLISECONDS,
    });
    if (received.kind !== BodyEndKind.Complete) {
      incoming.destroy();
      throw new RangeError(`order not received: ${received.kind}`);
    }
    try {
      return await relay.handle(incoming.url, received.bytes);
    } finally {
      received.release();
    }
  }

  const server = createServer((incoming, response) => {
    handle(incoming)
      .then((body) => {
        response.writeHead(body === undefined ? 404 : 200, { 'content-type': 'application/json' });
        response.end(body === undefined ? '' : JSON.stringify(body));
      })
      .catch((thrown: unknown) => {
        logger.debug('relay failed', { reason: String(thrown) });
        response.writeHead(502);
        response.end();
      });
  });
  guard.guard(server, { maximumConnections: guard.limits.instanceConnections });
  server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MILLISECONDS;
  server.on('error', (error) => logger.error('relay listener failed', { reason: error.message }));
  server.listen(options.port, options.host);
  return server;
}
