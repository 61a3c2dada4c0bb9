/**
 * Backend servers that state in their answers that they leave. The store may list such a server as
 * ready for some time, or lose its row without a word; what the server says itself holds.
 */
import type { BackendServer } from '@lapisbridge/catalog';
import type { Logger } from '@lapisbridge/logger';

import type { ResponseHead } from './caller-protocol.js';
import type { StandingStatement } from './standing-statement.js';

export interface ServerDepartures {
  /** Takes what a server's answer states; the answer has to be the server's own. */
  onAnswer(server: BackendServer, head: ResponseHead): void;
  isLeaving(server: BackendServer): boolean;
  /** Servers that leave and are not gone for long. */
  list(): StandingStatement[];
  /** Forgets servers that are gone or have started anew. */
  keepOnly(servers: ReadonlyMap<string, BackendServer>): void;
}

interface Departure {
  readonly since: number;
  /** Start of the process that leaves; undefined where it is not known. */
  readonly startedAt: number | undefined;
  /** When the server was found missing from the list; undefined while it is listed. */
  goneAt: number | undefined;
}

/** A store that was down may list servers again that it had dropped. */
const GONE_MILLISECONDS = 600_000;

export function createServerDepartures(now: () => number, logger: Logger): ServerDepartures {
  const departures = new Map<string, Departure>();

  /** A process that starts anew under the same id does not leave. */
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
      const listed: StandingStatement[] = [];
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
        } else if (now() - departure.goneAt > GONE_MILLISECONDS) departures.delete(instanceId);
      }
    },
  };
}
