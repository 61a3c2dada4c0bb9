/**
 * Records how much output a complete stream had, for estimates of later requests. Output is counted
 * in tokens, as callers state it: each event holds the tokens of one pass.
 */
import type { AcceptedRequest, ForwardContext } from './forward-context.js';

export function recordOutput(
  context: Pick<ForwardContext, 'workEstimator'>,
  { request, route, service, configuration }: AcceptedRequest,
  eventCount: number,
): void {
  // The caller has the beginning of a stream that it resumes from another response.
  if (request.lastEventId !== undefined) return;
  const tokensPerEvent = configuration.services.get(service)?.engine?.stepsPerPass ?? 1;
  context.workEstimator.recordAnswer(route.name, request.outputHint, eventCount * tokensPerEvent);
}
