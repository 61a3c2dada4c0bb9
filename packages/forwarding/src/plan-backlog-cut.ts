/**
 * Decides which responses are cut because their callers read slowly. Intended for many callers of
 * one instance that read less than their servers send, or nothing at all: what is held for them
 * must not take the memory that other callers' answers need. Servers of such callers are paused
 * before; what remains is what has been received already, and plain responses. Pure.
 */

/** What one instance may hold of responses that callers have not read yet, in bytes. */
export interface BacklogLimits {
  readonly connectionBytes: number;
  /** Of all connections together. */
  readonly totalBytes: number;
}

/** Why a response is cut; value of the label `reason` in metrics. */
export enum CutReason {
  /** The caller read nothing for longer than any limit of its route. */
  Unread = 'unread',
  ConnectionLimit = 'connectionLimit',
  /** The largest and slowest when all connections together exceed their limit. */
  TotalLimit = 'totalLimit',
}

/** A caller that has not read all of what was sent to it. */
export interface BackloggedCaller {
  readonly heldBytes: number;
  /** Bytes that the caller has read since its backlog began. */
  readonly readBytes: number;
  readonly sinceBacklogMilliseconds: number;
  readonly sinceReadMilliseconds: number;
  readonly maximumUnreadMilliseconds: number;
}

export interface BacklogCut<Caller> {
  readonly caller: Caller;
  readonly reason: CutReason;
}

const MEBIBYTE = 1024 * 1024;
const TOTAL_SHARE_OF_HEAP = 1 / 8;
/** Room for a largest plain response beside others. */
const MINIMUM_TOTAL_BYTES = 12 * MEBIBYTE;
/** Leaves a largest plain response whole. */
const CONNECTION_SHARE_OF_TOTAL = 3 / 4;
/** Below this, what a caller has read says nothing about how fast it reads. */
const MINIMUM_READ_BYTES = 16 * 1024;

/** Limits of a process whose JavaScript heap may grow to `heapBytes`. */
export function planBacklogLimits(heapBytes: number): BacklogLimits {
  const totalBytes = Math.max(MINIMUM_TOTAL_BYTES, Math.floor(heapBytes * TOTAL_SHARE_OF_HEAP));
  return { totalBytes, connectionBytes: Math.floor(totalBytes * CONNECTION_SHARE_OF_TOTAL) };
}

/** Time until the caller has read everything, at the rate at which it has read so far. */
function expectedDrainMilliseconds(caller: BackloggedCaller): number {
  const { heldBytes, readBytes, sinceBacklogMilliseconds } = caller;
  return (heldBytes * sinceBacklogMilliseconds) / Math.max(readBytes, MINIMUM_READ_BYTES);
}

function compareByDrain(left: BackloggedCaller, right: BackloggedCaller): number {
  const difference = expectedDrainMilliseconds(right) - expectedDrainMilliseconds(left);
  return difference === 0 ? right.heldBytes - left.heldBytes : difference;
}

function findOwnReason(
  { heldBytes, sinceReadMilliseconds, maximumUnreadMilliseconds }: BackloggedCaller,
  { connectionBytes }: BacklogLimits,
): CutReason | undefined {
  if (sinceReadMilliseconds > maximumUnreadMilliseconds) return CutReason.Unread;
  return heldBytes > connectionBytes ? CutReason.ConnectionLimit : undefined;
}

/** The responses to cut, largest and slowest first, until the others are within the limits. */
export function planBacklogCuts<Caller extends BackloggedCaller>(
  callers: Iterable<Caller>,
  limits: BacklogLimits,
): readonly BacklogCut<Caller>[] {
  const cuts: BacklogCut<Caller>[] = [];
  const kept: Caller[] = [];
  let totalBytes = 0;
  for (const caller of callers) {
    const reason = findOwnReason(caller, limits);
    if (reason === undefined) {
      kept.push(caller);
      totalBytes += caller.heldBytes;
    } else {
      cuts.push({ caller, reason });
    }
  }
  if (totalBytes <= limits.totalBytes) return cuts;
  for (const caller of kept.sort(compareByDrain)) {
    cuts.push({ caller, reason: CutReason.TotalLimit });
    totalBytes -= caller.heldBytes;
    if (totalBytes <= limits.totalBytes) break;
  }
  return cuts;
}
