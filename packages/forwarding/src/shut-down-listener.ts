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
const FINAL_RESPONSES_MILLISECONDS = 200;

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

function nextImmediate(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
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
  // Closing resets connections with unread requests, and those that wait in the listener's queue.
  // The event loop reads and accepts just before immediates run.
  await nextImmediate();
  shutdown.stopAccepting();
  const closed = connections.stopListening();
  logProgress('listener closed');
  const timer = setInterval(
    () => setImmediate(() => connections.closeIdle(MINIMUM_IDLE_MILLISECONDS)),
    IDLE_CLOSE_INTERVAL_MILLISECONDS,
  );
  await closed;
  clearInterval(timer);
}
