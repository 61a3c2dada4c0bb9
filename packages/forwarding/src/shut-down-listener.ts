/**
 * Shuts a listener down: it accepts connections until load balancers have noticed, then closes each
 * open connection once it is idle.
 */
import { sleep } from '@lapisbridge/kernel';
import type { ConnectionDrain } from '@lapisbridge/kernel';
import type { Logger } from '@lapisbridge/logger';

import type { EntryShutdown } from './entry-shutdown.js';
import type { InFlightRequests } from './in-flight-requests.js';

const IDLE_CLOSE_INTERVAL_MILLISECONDS = 100;
/**
 * Many callers send their next request as soon as they have a response. Read, it gets an answer;
 * closing the connection meanwhile would reset it.
 */
const MINIMUM_IDLE_MILLISECONDS = 100;
/** Time in which the last responses leave the process before it ends. */
const FINAL_RESPONSES_MILLISECONDS = 300;

export interface ListenerShutdown {
  readonly connections: ConnectionDrain;
  readonly inFlight: InFlightRequests;
  readonly shutdown: EntryShutdown;
  readonly logger: Logger;
  /** How long new connections are still accepted. */
  readonly acceptMilliseconds: number;
  /** When the process ends, on the clock of the shutdown. */
  readonly endsAt: number;
}

/** More connections than the listener's queue holds. */
const MAXIMUM_ACCEPT_PASSES = 1024;

function nextImmediate(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

/**
 * Closing the listener resets connections that wait in its queue. The event loop accepts just
 * before immediates run, and may accept a single one each time.
 */
async function acceptQueued(connections: ConnectionDrain): Promise<void> {
  for (let pass = 0; pass < MAXIMUM_ACCEPT_PASSES; pass += 1) {
    const before = connections.acceptedCount();
    await nextImmediate();
    if (connections.acceptedCount() === before) return;
  }
}

/** Resolves when all connections are closed. */
export async function shutDownListener(options: ListenerShutdown): Promise<void> {
  const { connections, inFlight, shutdown, logger, acceptMilliseconds, endsAt } = options;

  function logProgress(event: string): void {
    logger.info(event, {
      requests: inFlight.count(),
      ...inFlight.countsByStage(),
      connections: connections.openCount(),
    });
  }

  inFlight.beginShutdown();
  logProgress('shutdown begun');
  shutdown.begin(endsAt - FINAL_RESPONSES_MILLISECONDS);
  await sleep(acceptMilliseconds);
  await acceptQueued(connections);
  shutdown.stopAccepting();
  const closed = connections.stopListening();
  logProgress('listener closed');
  // Closing a connection resets an unread request; the event loop reads before immediates run.
  const timer = setInterval(
    () => setImmediate(() => connections.closeIdle(MINIMUM_IDLE_MILLISECONDS)),
    IDLE_CLOSE_INTERVAL_MILLISECONDS,
  );
  await closed;
  clearInterval(timer);
}
