/**
 * The one place that decides whose request is refused, paused or closed because clients together
 * hold too much of this process. All listeners of a process share one guard.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { Server as TransportSecurityServer } from 'node:tls';

import { createConnectionDrain } from '@lapisbridge/kernel';
import type { ConnectionDrain, TrackedConnection } from '@lapisbridge/kernel';
import type { Logger } from '@lapisbridge/logger';

import { createBodyBudget } from './body-budget.js';
import { createLingering } from './linger.js';
import type { ClientLimits } from './plan-client-limits.js';
import { planEvictions, planHeadEvictions } from './plan-eviction.js';
import type { BodyStage } from './plan-eviction.js';
import { createPressureLog, LimitCause } from './pressure-log.js';
import { readBody } from './read-body.js';
import type { BodyEnd, BodyOptions } from './read-body.js';
import { createTurnQueue } from './turn-queue.js';

/** What clients hold of the process, and what they lost to limits. */
export interface ClientUsage {
  readonly connections: number;
  readonly requests: number;
  readonly headBytes: number;
  readonly bodyBytes: ReadonlyMap<BodyStage, number>;
  readonly bodies: ReadonlyMap<BodyStage, number>;
  readonly limited: ReadonlyMap<LimitCause, number>;
}

export interface GuardedServerOptions {
  /** Connections that this server may have open; by default the limit for clients. */
  readonly maximumConnections?: number;
}

export interface ClientGuard {
  readonly limits: ClientLimits;
  /**
   * Bounds the connections of a server, and returns what tracks them. Must be called before the
   * server accepts its first connection.
   */
  guard(server: Server, options?: GuardedServerOptions): ConnectionDrain;
  /**
   * Counts a request of a guarded server until its response has left. Returns false if there are
   * too many, in which case it must be refused; too many on one connection close it.
   */
  admit(incoming: IncomingMessage, response: ServerResponse): boolean;
  readBody(incoming: IncomingMessage, options: BodyOptions): Promise<BodyEnd>;
  /** Closes the connection after a response that comes before the request is complete. */
  closeAfter(incoming: IncomingMessage, response: ServerResponse): void;
  usage(): ClientUsage;
}

export interface ClientGuardOptions {
  readonly limits: ClientLimits;
  readonly logger: Logger;
  now(): number;
}

/** Largest head that a guarded server accepts; Node.js refuses others with 431. */
export const MAXIMUM_HEADER_BYTES = 64 * 1024;
const HEAD_CHECK_INTERVAL_MILLISECONDS = 250;
/** Connections accepted after which incomplete heads are looked at. */
const ACCEPTED_PER_HEAD_CHECK = 16;
/** Part of the connections that is closed at a time, so that not each new one costs a search. */
const EVICTED_SHARE = 1 / 32;

interface GuardedServer {
  readonly drain: ConnectionDrain;
  readonly maximumConnections: number;
  /** Connections whose TLS handshake is not complete, oldest first. */
  readonly handshakes: Map<string, Socket>;
}

/** Names the connection of a socket: that of a TLS handshake is another object. */
function nameOf({ remoteAddress, remotePort, localPort }: Socket): string {
  return `${remoteAddress} ${remotePort} ${localPort}`;
}

export function createClientGuard(options: ClientGuardOptions): ClientGuard {
  const { limits, logger, now } = options;
  const servers: GuardedServer[] = [];
  const serversByConnection = new WeakMap<Socket, GuardedServer>();
  const pressure = createPressureLog({ logger, now, facts: describeUsage });
  const budget = createBodyBudget({ limits, pressure, now });
  const turns = createTurnQueue();
  const lingering = createLingering();
  let openRequests = 0;
  let sinceHeadCheck = 0;
  let headTimer: NodeJS.Timeout | undefined;

  function openCount({ drain, handshakes }: GuardedServer): number {
    return drain.openCount() + handshakes.size;
  }

  function connectionCount(): number {
    return servers.reduce((sum, server) => sum + openCount(server), 0);
  }

  function headBytes(): number {
    let sum = 0;
    for (const { drain } of servers) {
      for (const connection of drain.connections()) sum += connection.headBytes;
    }
    return sum;
  }

  function describeUsage(): Readonly<Record<string, unknown>> {
    return {
      connections: connectionCount(),
      requests: openRequests,
      headBytes: headBytes(),
      bodyBytes: budget.heldBytes(),
      limits,
    };
  }

  function close(connections: Iterable<{ readonly socket: Socket }>, cause: LimitCause): number {
    let closed = 0;
    for (const { socket } of connections) {
      socket.destroy();
      closed += 1;
    }
    if (closed > 0) pressure.record(cause, closed);
    return closed;
  }

  /** Makes room for a new connection; returns whether there is any. */
  function makeRoom(server: GuardedServer, except: Socket): boolean {
    const handshakes = [...server.handshakes.values()].filter((socket) => socket !== except);
    const count = Math.max(1, Math.ceil(server.maximumConnections * EVICTED_SHARE));
    const idle: TrackedConnection[] = [];
    for (const connection of server.drain.connections()) {
      if (connection.openResponses === 0 && connection.socket !== except) idle.push(connection);
    }
    const evicted =
      handshakes.length > idle.length
        ? handshakes.slice(0, count).map((socket) => ({ socket }))
        : planEvictions(idle, count);
    return close(evicted, LimitCause.Connections) > 0 || budget.refuseStalled();
  }

  function checkHeads(): void {
    sinceHeadCheck = 0;
    const heads: TrackedConnection[] = [];
    for (const { drain } of servers) heads.push(...drain.connections());
    close(planHeadEvictions(heads, limits.headBytes), LimitCause.HeadBytes);
    const mayExceed = connectionCount() * MAXIMUM_HEADER_BYTES > limits.headBytes;
    if (mayExceed && headTimer === undefined) {
      headTimer = setInterval(checkHeads, HEAD_CHECK_INTERVAL_MILLISECONDS);
      headTimer.unref();
    } else if (!mayExceed) {
      clearInterval(headTimer);
      headTimer = undefined;
    }
  }

  function onConnection(server: GuardedServer, socket: Socket): void {
    if (openCount(server) > server.maximumConnections && !makeRoom(server, socket)) {
      pressure.record(LimitCause.Connections);
      socket.destroy();
      return;
    }
    sinceHeadCheck += 1;
    if (sinceHeadCheck >= ACCEPTED_PER_HEAD_CHECK) checkHeads();
  }

  function trackHandshakes(server: Server, guarded: GuardedServer): void {
    server.on('connection', (socket: Socket) => {
      const name = nameOf(socket);
      guarded.handshakes.set(name, socket);
      socket.once('close', () => guarded.handshakes.delete(name));
      onConnection(guarded, socket);
    });
    server.prependListener('secureConnection', (socket: Socket) => {
      guarded.handshakes.delete(nameOf(socket));
      serversByConnection.set(socket, guarded);
    });
  }

  return {
    limits,
    guard(server, { maximumConnections = limits.connections } = {}) {
      const guarded: GuardedServer = {
        drain: createConnectionDrain(server),
        maximumConnections,
        handshakes: new Map(),
      };
      servers.push(guarded);
      if (server instanceof TransportSecurityServer) {
        trackHandshakes(server, guarded);
      } else {
        server.on('connection', (socket: Socket) => {
          serversByConnection.set(socket, guarded);
          onConnection(guarded, socket);
        });
      }
      return guarded.drain;
    },
    admit(incoming, response) {
      openRequests += 1;
      response.once('close', () => {
        openRequests -= 1;
      });
      const { socket } = incoming;
      // It came after a response that closes the connection, and could not be answered.
      if (socket.writableEnded) {
        socket.destroy();
        return false;
      }
      const pipelined = serversByConnection.get(socket)?.drain.openResponses(socket) ?? 1;
      if (pipelined > limits.requestsPerConnection) {
        pressure.record(LimitCause.RequestsPerConnection);
        socket.destroy();
        return false;
      }
      if (openRequests <= limits.requests) return true;
      pressure.record(LimitCause.Requests);
      // The refusal would wait for the responses before it.
      if (pipelined > 1) socket.destroy();
      return false;
    },
    readBody: (incoming, bodyOptions) => readBody(incoming, bodyOptions, { budget, turns }),
    closeAfter: lingering.closeAfter,
    usage: () => ({
      connections: connectionCount(),
      requests: openRequests,
      headBytes: headBytes(),
      bodyBytes: budget.bytesByStage(),
      bodies: budget.countsByStage(),
      limited: pressure.counts(),
    }),
  };
}
