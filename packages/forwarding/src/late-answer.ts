/**
 * When a plain response is late: an idempotent request is then hedged to a second server, and a
 * server that was abandoned without a response counts as hanging.
 */
import type { Route } from '@lapisbridge/catalog';

const OBJECTIVE_MULTIPLE = 1.5;

/** Milliseconds from the start of an attempt after which its response is late. */
export function lateThresholdMilliseconds({ latencyObjectiveMilliseconds }: Route): number {
  return latencyObjectiveMilliseconds * OBJECTIVE_MULTIPLE;
}
