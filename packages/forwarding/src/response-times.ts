/**
 * Time that the recent responses of each route took until they were complete.
 */

export interface ResponseTimes {
  record(route: string, milliseconds: number): void;
  /** Time within which most recent responses were complete; undefined if there were none. */
  usualMilliseconds(route: string): number | undefined;
}

/** Responses kept of each route. */
const HISTORY_SIZE = 32;
/** Share of the recent responses that were complete within the usual time. */
const USUAL_SHARE = 0.9;
/** Routes beyond these replace the ones whose responses are oldest. */
const MAXIMUM_ROUTES = 256;

export function createResponseTimes(): ResponseTimes {
  const timesByRoute = new Map<string, number[]>();
  return {
    record(route, milliseconds) {
      const times = timesByRoute.get(route) ?? [];
      times.push(milliseconds);
      if (times.length > HISTORY_SIZE) times.shift();
      timesByRoute.delete(route);
      timesByRoute.set(route, times);
      if (timesByRoute.size <= MAXIMUM_ROUTES) return;
      const [oldest] = timesByRoute.keys();
      if (oldest !== undefined) timesByRoute.delete(oldest);
    },
    usualMilliseconds(route) {
      const times = timesByRoute.get(route);
      if (times === undefined) return undefined;
      const sorted = [...times].sort((left, right) => left - right);
      return sorted[Math.ceil(sorted.length * USUAL_SHARE) - 1];
    },
  };
}
