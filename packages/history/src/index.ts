/**
 * Histories of concurrent runs and the checkers of the promises.
 */
export {
  checkAll,
  checkAtMostOnce,
  checkColdStart,
  checkConfiguration,
  checkDrained,
  checkGracefulStop,
  checkNotRunIsTrue,
  checkOneMapPerStep,
  checkWholeAnswers,
} from './checkers.js';
export type { Checker, Violation } from './checkers.js';
export { createHistory, EventKind } from './events.js';
export type { EventOf, History, HistoryEvent } from './events.js';
export { findWorstRetryWindow } from './retry-load.js';
export type { RetryLimits, RetryWindow } from './retry-load.js';
