/**
 * Cancels an attempt at a server that is silent while others of its service are not: its process or
 * its network has failed, and the stream can continue elsewhere before the caller leaves.
 */
import type { AcceptedRequest, ForwardContext } from './forward-context.js';
import type { StreamAttempt, StreamEnd } from './stream-attempt.js';

/** Silence after which a server is checked; callers leave after two seconds. */
const SILENCE_MILLISECONDS = 1000;
const CHECK_MILLISECONDS = 200;

/** Longer than any pass of a group that runs. */
const GROUP_SILENCE_MILLISECONDS = 250;

/** Whether the server's lock-step group has stopped while another one of its service runs. */
function shouldChangeGroup({ context, accepted, attempt }: StallWatchOptions): boolean {
  const { server } = attempt;
  if (server.groupRank === undefined) return false;
  const sinceEvent = context.groupPasses.millisecondsSinceEvent(server.groupRank.group);
  // A single rank may report a stop although its group sends events.
  if (sinceEvent < GROUP_SILENCE_MILLISECONDS) return false;
  if (context.groupHealth.brokenForMilliseconds(server) === undefined) return false;
  for (const other of context.catalog.servers().servers.values()) {
    if (other.service !== accepted.service || other.draining) continue;
    if (other.groupRank === undefined || other.groupRank.group === server.groupRank.group) continue;
    if (context.groupHealth.brokenForMilliseconds(other) === undefined) return true;
  }
  return false;
}

export interface StallWatchOptions {
  readonly context: ForwardContext;
  readonly accepted: AcceptedRequest;
  readonly attempt: StreamAttempt;
  /** Milliseconds since the request arrived, or since its caller's last event. */
  idleMilliseconds(): number;
  /** Whether the stream could continue at another server. */
  mayContinue(): boolean;
}

function isStalled({ context, accepted, attempt, idleMilliseconds }: StallWatchOptions): boolean {
  const { server } = attempt;
  const isSilent = context.liveness.isSilent(server);
  // A stream that has not started loses only its position in a queue that does not advance.
  if (isSilent && !accepted.response.hasBegun) return true;
  if (idleMilliseconds() < SILENCE_MILLISECONDS) return false;
  if (isSilent) return true;
  // While requests are queued, silence does not indicate a fault, and a stream that is moved to the
  // end of another queue loses its position.
  const isWaiting = !accepted.response.hasBegun && context.ledger.isQueueing(server.instanceId);
  if (isWaiting) return false;
  return context.pulse.isStalled(accepted.service, server.instanceId, SILENCE_MILLISECONDS);
}

/** Watches the attempt until it ends, and resolves with its end. */
export async function watchForStall(options: StallWatchOptions): Promise<StreamEnd> {
  const { attempt } = options;
  const timer = setInterval(() => {
    if (!options.mayContinue()) return;
    // Its own server is not at fault, so the attempt does not count against it.
    if (shouldChangeGroup(options)) attempt.cancel('its group stopped while another runs');
    else if (isStalled(options)) attempt.abandon('silent while others answer');
  }, CHECK_MILLISECONDS);
  const end = await attempt.end;
  clearInterval(timer);
  return end;
}
