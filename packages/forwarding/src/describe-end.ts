/**
 * Describes for the log why a request ends without an answer.
 */
import { isRequestDigest } from '@lapisbridge/crash-attribution';

import { findQuarantinedCause } from './forward-context.js';
import type { AcceptedRequest, ForwardContext, RequestProgress } from './forward-context.js';
import { describeOutcome } from './outcome.js';
import { RefusalCause } from './plan-retry-after.js';

function nameOf(cause: string): string {
  return isRequestDigest(cause) ? `request ${cause}` : `prompt part ${cause}`;
}

export function describeEnd(
  context: ForwardContext,
  accepted: AcceptedRequest,
  { outcomes }: RequestProgress,
  cause: RefusalCause,
): string {
  const reasons = outcomes.map(describeOutcome);
  const quarantined = findQuarantinedCause(context, accepted);
  if (quarantined !== undefined) reasons.push(`${nameOf(quarantined)} is quarantined`);
  if (cause === RefusalCause.BudgetSpent) reasons.push('retry budget spent');
  return reasons.join('; ') || cause;
}
