/**
 * Decides which clients lose their connection when all together hold too much. Those without
 * progress go first, the longest of them before the others: they would keep what clients that make
 * progress need. Pure.
 */

/** A connection without a request under way. */
export interface IdleConnection {
  /** Since its last response or since it was opened. */
  readonly idleMilliseconds: number;
  readonly hasCompletedRequest: boolean;
}

function compareConnections(left: IdleConnection, right: IdleConnection): number {
  if (left.hasCompletedRequest !== right.hasCompletedRequest) {
    return left.hasCompletedRequest ? 1 : -1;
  }
  return right.idleMilliseconds - left.idleMilliseconds;
}

/** The connections to close first: those that never sent a whole request, then the longest idle. */
export function planEvictions<Connection extends IdleConnection>(
  connections: Iterable<Connection>,
  count: number,
): readonly Connection[] {
  return [...connections].sort(compareConnections).slice(0, count);
}

/** A connection with a part of a head. */
export interface IncompleteHead {
  readonly headBytes: number;
  readonly idleMilliseconds: number;
}

/** The connections to close so that at most `maximumBytes` of incomplete heads are held. */
export function planHeadEvictions<Head extends IncompleteHead>(
  heads: Iterable<Head>,
  maximumBytes: number,
): readonly Head[] {
  const incomplete = [...heads].filter(({ headBytes }) => headBytes > 0);
  let totalBytes = incomplete.reduce((sum, { headBytes }) => sum + headBytes, 0);
  if (totalBytes <= maximumBytes) return [];
  const evicted: Head[] = [];
  for (const head of incomplete.sort((a, b) => b.idleMilliseconds - a.idleMilliseconds)) {
    if (totalBytes <= maximumBytes) break;
    evicted.push(head);
    totalBytes -= head.headBytes;
  }
  return evicted;
}

export enum BodyStage {
  /** Its client may send. */
  Receiving = 'receiving',
  /** Its connection is not read. */
  Paused = 'paused',
  /** Complete; kept until its request has ended. */
  Complete = 'complete',
}

export interface BudgetedBody {
  readonly stage: BodyStage;
  readonly heldBytes: number;
  /** Since it last grew by a notable part, or was resumed. */
  readonly sinceProgressMilliseconds: number;
  /** Since it was paused; 0 if it is not. */
  readonly pausedMilliseconds: number;
}

export interface BodyRelief<Body> {
  readonly refused: readonly Body[];
  readonly resumed: readonly Body[];
}

/** A body without progress for so long gives way to others. */
export const STALLED_MILLISECONDS = 1000;
/** A paused body is refused after this time, so that its client can try another instance. */
export const MAXIMUM_PAUSE_MILLISECONDS = 2000;
/** Bodies up to this size are usual, and are read on while large ones are paused. */
export const SMALL_BODY_BYTES = 16 * 1024;
/** What a resumed connection may deliver before it can be paused again. */
const RESUMED_BYTES = 64 * 1024;

/**
 * Bodies to refuse and to resume so that at most `maximumBytes` are held. Paused bodies are resumed
 * in the order of the iteration; a body without other large ones beside it may exceed the limit.
 */
export function planBodyRelief<Body extends BudgetedBody>(
  bodies: Iterable<Body>,
  maximumBytes: number,
): BodyRelief<Body> {
  const refused: Body[] = [];
  const resumed: Body[] = [];
  const stalled: Body[] = [];
  const paused: Body[] = [];
  let totalBytes = 0;
  let largeBodies = 0;
  for (const body of bodies) {
    totalBytes += body.heldBytes;
    if (body.heldBytes > SMALL_BODY_BYTES) largeBodies += 1;
    if (body.stage === BodyStage.Paused) paused.push(body);
    else if (
      body.stage === BodyStage.Receiving &&
      body.sinceProgressMilliseconds >= STALLED_MILLISECONDS
    ) {
      stalled.push(body);
    }
  }
  stalled.sort((a, b) => b.sinceProgressMilliseconds - a.sinceProgressMilliseconds);
  const neededBytes = paused.length > 0 ? RESUMED_BYTES : 0;
  for (const body of stalled) {
    if (totalBytes + neededBytes <= maximumBytes) break;
    refused.push(body);
    totalBytes -= body.heldBytes;
    if (body.heldBytes > SMALL_BODY_BYTES) largeBodies -= 1;
  }
  for (const body of paused) {
    if (totalBytes + RESUMED_BYTES <= maximumBytes || largeBodies <= 1) {
      resumed.push(body);
      totalBytes += RESUMED_BYTES;
    } else if (body.pausedMilliseconds >= MAXIMUM_PAUSE_MILLISECONDS) {
      refused.push(body);
      totalBytes -= body.heldBytes;
      if (body.heldBytes > SMALL_BODY_BYTES) largeBodies -= 1;
    }
  }
  return { refused, resumed };
}
