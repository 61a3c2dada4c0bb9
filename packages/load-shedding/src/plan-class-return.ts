/**
 * Computes when callers that were not admitted should retry. Intended for shortages of some
 * seconds: the less urgent a class, the later its callers return, so that urgent ones find the
 * capacity that comes free first. Pure.
 */
import type { PriorityClass } from './class-admission.js';

/** Mean time after which callers of the most and of the least urgent class should retry. */
const MOST_URGENT_RETURN_MILLISECONDS = 1200;
const LEAST_URGENT_RETURN_MILLISECONDS = 2600;

/** Milliseconds after which the class is expected to be admitted. */
export function planClassReturn({ index, count }: PriorityClass): number {
  if (count <= 1) return LEAST_URGENT_RETURN_MILLISECONDS;
  const range = LEAST_URGENT_RETURN_MILLISECONDS - MOST_URGENT_RETURN_MILLISECONDS;
  return MOST_URGENT_RETURN_MILLISECONDS + (range * index) / (count - 1);
}
