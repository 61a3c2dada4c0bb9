/**
 * A sidecar's door for the leader of its group: passes orders and questions on to the backend
 * server beside it. An order of a leader that was replaced is refused here, so that two leaders
 * never steer one rank by turns.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server } from 'node:http';

import { parseObject } from '@lapisbridge/json-call';
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
  /** The map that the group has after it formed, version 0; undefined where it is not known yet. */
  initialGroupMap(): GroupMap | undefined;
  /** Takes note of a leader's fencing number; false when a higher one is known. */
  acceptFencingNumber(fencingNumber: number): boolean;
  /** Fencing number while this sidecar leads. */
  ownFencingNumber(): number | undefined;
}

export interface RelayListenerOptions extends RankRelayOptions {
  readonly host: string;
  readonly port: number;
}

export interface RankRelay {
  /**
   * The answer to a call of a leader, to be encoded as JSON; undefined where there is no such path.
   * Rejects when the backend server does not answer a question.
   */
  handle(path: string | undefined, body: Buffer): Promise<unknown>;
}

/** Longer than the pause between two rollouts mostly is. */
const KEEP_ALIVE_TIMEOUT_MILLISECONDS = 30_000;
/** The map in force, the one being prepared, and one that was given up. */
const REMEMBERED_MAPS = 3;
const MAXIMUM_ORDER_BYTES = 4 * 1024 * 1024;

function readBody(incoming: IncomingMessage): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    incoming.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > MAXIMUM_ORDER_BYTES) incoming.destroy(new Error('order too large'));
      else chunks.push(chunk);
    });
    incoming.on('end', () => resolve(Buffer.concat(chunks)));
    incoming.on('error', reject);
  });
}

export function createRankRelay(options: RankRelayOptions): RankRelay {
  const { engine, backendServer, logger } = options;
  const knownMaps = new Map<number, GroupMap>();

  function findMap(version: number): GroupMap | undefined {
    return version === 0 ? options.initialGroupMap() : knownMaps.get(version);
  }

  /** Later maps are told as what differs from this one. */
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

/** Starts listening; the server is closed with the process. */
export function startRelayListener(options: RelayListenerOptions): Server {
  const { logger } = options;
  const relay = createRankRelay(options);
  const server = createServer((incoming, response) => {
    readBody(incoming)
      .then((received) => relay.handle(incoming.url, received))
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
  server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MILLISECONDS;
  server.on('error', (error) => logger.error('relay listener failed', { reason: error.message }));
  server.listen(options.port, options.host);
  return server;
}
