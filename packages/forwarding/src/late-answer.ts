/**
 * When a plain answer is late: an idempotent request then goes to a second server, and a server that
 * was given up without an answer is taken to hang.
 */
import type { Route } from '@lapisbridge/catalog';

const OBJECTIVES = 1.5;

/** Milliseconds after which an answer is late. */
export function lateMilliseconds({ latencyObjectiveMilliseconds }: Route): number {
  return latencyObjectiveMilliseconds * OBJECTIVES;
}
