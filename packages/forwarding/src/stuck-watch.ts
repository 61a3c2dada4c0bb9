/**
 * Ends an attempt at a server that is silent while others of its service are not: its process or
 * its network has stopped, and the stream can go on elsewhere before the caller leaves.
 */
import type { BackendServer } from '@lapisbridge/catalog';

import type { AcceptedRequest, ForwardContext } from './forward-context.js';
import type { StreamAttempt, StreamEnd } from './stream-attempt.js';

/** Silence after which a server is looked at; callers leave after two seconds. */
const SILENCE_MILLISECONDS = 1000;
const CHECK_MILLISECONDS = 200;

export interface StuckWatchOptions {
  readonly context: ForwardContext;
  readonly accepted: AcceptedRequest;
  readonly server: BackendServer;
  readonly attempt: StreamAttempt;
  /** Milliseconds since the request arrived, or since its caller's last event. */
  idleMilliseconds(): number;
  /** Whether the stream could go on at another server. */
  mayContinue(): boolean;
}

function isStuck({ context, accepted, server, idleMilliseconds }: StuckWatchOptions): boolean {
  const isSilent = context.liveness.isSilent(server);
  // A stream that has not begun loses only its place in a queue that does not move.
  if (isSilent && !accepted.response.hasBegun) return true;
  if (idleMilliseconds() < SILENCE_MILLISECONDS) return false;
  if (isSilent) return true;
  // Where requests wait their turn, silence is no sign of a fault, and whoever is sent to the end
  // of another queue loses the place that it has.
  const isWaiting = !accepted.response.hasBegun && context.ledger.isQueueing(server.instanceId);
  if (isWaiting) return false;
  return context.pulse.isStuck(accepted.service, server.instanceId, SILENCE_MILLISECONDS);
}

/** Resolves with the end of the attempt. */
export async function watchStuck(options: StuckWatchOptions): Promise<StreamEnd> {
  const { attempt } = options;
  const timer = setInterval(() => {
    if (options.mayContinue() && isStuck(options)) attempt.cancel('silent while others answer');
  }, CHECK_MILLISECONDS);
  const end = await attempt.end;
  clearInterval(timer);
  return end;
}
