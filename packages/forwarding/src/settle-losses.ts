/**
 * Delays what follows the loss of an attempt until its cause is known. A caller whose request fails
 * asks another entry within a millisecond, which must know by then under how many servers' ends.
 */
import type { AcceptedRequest, ForwardContext, RequestProgress } from './forward-context.js';

/** A server that has ended refuses connections at once, so that a probe takes little longer. */
const MAXIMUM_MILLISECONDS = 100;

/**
 * Whether a further attempt may follow two ends of servers under the request, so that it is worth
 * the time to find out.
 */
export function mayEndServers(
  { crashLedger }: ForwardContext,
  { digest }: AcceptedRequest,
  { runs }: RequestProgress,
): boolean {
  return runs > 0 && runs + crashLedger.generationOf(digest) > 1;
}

/** Waits until it is known whether servers have ended under the request, and tells other entries. */
export async function settleLosses(
  context: ForwardContext,
  { settlements }: RequestProgress,
): Promise<void> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<void>((resolve) => {
    timer = setTimeout(resolve, MAXIMUM_MILLISECONDS);
  });
  await Promise.race([Promise.all(settlements), timeout]);
  clearTimeout(timer);
  context.announceCrashes();
}
