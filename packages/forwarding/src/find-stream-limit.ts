/**
 * Finds the concurrency limit of a lock-step group for the streams of a route.
 */
import type { AcceptedRequest, ForwardContext } from './forward-context.js';
import type { GroupLoad } from './group-loads.js';

/** Most streams that keep the group's passes within the route's objective; undefined for no limit. */
export function findStreamLimit(
  context: ForwardContext,
  accepted: AcceptedRequest,
  { group, slots }: GroupLoad,
): number | undefined {
  const engine = accepted.configuration.services.get(accepted.service)?.engine;
  if (engine === undefined) return undefined;
  return context.groupConcurrency.maximumStreams({
    group,
    slots,
    basePassMilliseconds: engine.stepsPerPass * engine.stepMilliseconds,
    gapObjectiveMilliseconds: accepted.route.eventGapObjectiveMilliseconds,
  });
}
