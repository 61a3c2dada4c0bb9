/**
 * Class-based admission to a service whose lock-step groups approach their concurrency limits.
 * Intended for bursts of 1.5 to 2.3 times the usual load, of urgent or of background streams, seen
 * by dozens of entries through load reports that are some hundred milliseconds old. Less urgent
 * classes give way first, none is refused well below the limit, and none starves. Pure.
 */

/** Position of a request's priority among those of the routes to its service. */
export interface PriorityClass {
  /** 0 for the most urgent class. */
  readonly index: number;
  /** Number of classes; 1 where all routes of the service have the same priority. */
  readonly count: number;
}

export interface ClassAdmissionInput {
  readonly priorityClass: PriorityClass;
  /** Streams in the group, as a share of the most that keep its passes within the objective. */
  readonly utilization: number;
  /** The caller was refused before and will not retry again. */
  readonly isRetry: boolean;
}

/** Utilization from which the least urgent class is admitted only by its guaranteed share. */
const LEAST_URGENT_BAND_END = 1;
/** Utilization by which the band of each more urgent class ends later. */
const BAND_STEP = 0.3;
/**
 * Width of the band of utilization over which a class gives way. A sharp limit would be seen by all
 * entries at once, with the delay of the reports, and admit and refuse callers by turns.
 */
const BAND_WIDTH = 0.1;
/** Guaranteed share of each class, so that none starves. */
const MINIMUM_ADMITTED_SHARE = 0.3;

/**
 * Share of the class's requests, 0 to 1, that is admitted. The most urgent class and retries, whose
 * callers would be lost, are never refused.
 */
export function planAdmittedShare(input: ClassAdmissionInput): number {
  const { priorityClass, utilization, isRetry } = input;
  if (isRetry || priorityClass.index === 0) return 1;
  const classesBelow = priorityClass.count - 1 - priorityClass.index;
  const bandEnd = LEAST_URGENT_BAND_END + BAND_STEP * classesBelow;
  const share = (bandEnd - utilization) / BAND_WIDTH;
  return Math.max(MINIMUM_ADMITTED_SHARE, Math.min(1, share));
}
