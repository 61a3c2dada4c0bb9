/**
 * Describes for the log why a request ends without an answer.
 */
import { findQuarantinedPart } from './forward-context.js';
import type { AcceptedRequest, ForwardContext, RequestProgress } from './forward-context.js';
import { describeOutcome } from './outcome.js';
import { RefusalCause } from './plan-retry-after.js';

export function describeEnd(
  context: ForwardContext,
  accepted: AcceptedRequest,
  { outcomes }: RequestProgress,
  cause: RefusalCause,
): string {
  const reasons = outcomes.map(describeOutcome);
  const part = findQuarantinedPart(context, accepted);
  if (part !== undefined) reasons.push(`prompt part ${part} is quarantined`);
  if (cause === RefusalCause.BudgetSpent) reasons.push('retry budget spent');
  return reasons.join('; ') || cause;
}
