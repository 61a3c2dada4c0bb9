/**
 * Backend servers that state in their answers that they are leaving, that is, shutting down. The
 * store may list such a server as ready for some time, or drop its row without notice, so the
 * server's own statement takes precedence.
 */
import type { BackendServer } from '@lapisbridge/catalog';
import type { Logger } from '@lapisbridge/logger';

import type { ResponseHead } from './caller-protocol.js';
import type { ActiveStatement } from './active-statement.js';

export interface ServerDepartures {
  /** Processes the head of an answer, which must come from the server itself. */
  onAnswer(server: BackendServer, head: ResponseHead): void;
  isLeaving(server: BackendServer): boolean;
  /** Leaving servers, except those that are missing from the list. */
  list(): ActiveStatement[];
  /** Drops servers that have restarted or have been missing from the list for long. */
  keepOnly(servers: ReadonlyMap<string, BackendServer>): void;
}

interface Departure {
  readonly since: number;
  /** Start time of the leaving process; undefined if it is not known. */
  readonly startedAt: number | undefined;
  /** When the server was found missing from the list; undefined while it is listed. */
  goneAt: number | undefined;
}

/**
 * How long a missing server is remembered: a store that was down may list servers again that it had
 * dropped.
 */
const RETENTION_MILLISECONDS = 600_000;

export function createServerDepartures(now: () => number, logger: Logger): ServerDepartures {
  const departures = new Map<string, Departure>();

  /** A process that has restarted under the same id is not leaving. */
  function hasRestarted(departure: Departure, { startedAt }: BackendServer): boolean {
    if (startedAt === undefined || departure.startedAt === undefined) return false;
    return startedAt !== departure.startedAt;
  }

  return {
    onAnswer(server, { isLeaving }) {
      if (!isLeaving) return;
      const { instanceId, startedAt } = server;
      const before = departures.get(instanceId);
      if (before !== undefined && !hasRestarted(before, server)) return;
      departures.set(instanceId, { since: now(), startedAt, goneAt: undefined });
      logger.info('server leaving', { server: instanceId });
    },
    isLeaving(server) {
      const departure = departures.get(server.instanceId);
      return departure !== undefined && !hasRestarted(departure, server);
    },
    list() {
      const listed: ActiveStatement[] = [];
      for (const [instanceId, { since, goneAt }] of departures) {
        if (goneAt === undefined) listed.push({ instanceId, ageMilliseconds: now() - since });
      }
      return listed;
    },
    keepOnly(servers) {
      for (const [instanceId, departure] of departures) {
        const listed = servers.get(instanceId);
        if (listed !== undefined && hasRestarted(departure, listed)) {
          departures.delete(instanceId);
          logger.info('leaving server gone', { server: instanceId });
        } else if (listed !== undefined) {
          departure.goneAt = undefined;
        } else if (departure.goneAt === undefined) {
          departure.goneAt = now();
          logger.info('leaving server gone', { server: instanceId });
        } else if (now() - departure.goneAt > RETENTION_MILLISECONDS) departures.delete(instanceId);
      }
    },
  };
}
