/**
 * Estimates the output of a request from its client's hint and from recent answers of its route.
 * Intended for services whose answers differ widely in length, and whose clients' hints are often
 * far off: hint and history are weighted by how far each has been from the answers of the route.
 */
import type { OutputHint, WorkEstimate, WorkEstimator } from './work-estimator.js';

/** Answers kept of each route, so that the estimate follows a change within as many answers. */
const HISTORY_SIZE = 64;
/** Routes beyond these replace the ones that were used least recently. */
const MAXIMUM_ROUTES = 256;
/** Share of the recent estimates that were right within the error factor. */
const ERROR_QUANTILE = 0.8;
/** Error of hints, as a logarithm, that is assumed of a route until its answers show it. */
const ASSUMED_HINT_ERROR = Math.log(2);
/** Spread of answers, as a logarithm, that is assumed of a route until its answers show it. */
const ASSUMED_SPREAD = 1;
/** Answers that the assumptions count for. */
const ASSUMED_ANSWERS = 4;
/** Estimate for a route without answers whose client states neither a hint nor a maximum. */
const DEFAULT_OUTPUT_TOKENS = 100;
/** Wider errors count as this one, so that one absurd hint does not outweigh all others. */
const MAXIMUM_LOG_ERROR = Math.log(100);

interface History {
  /** Output tokens of the last answers. */
  readonly outputs: number[];
  /** Squared logarithmic errors of the last hints. */
  readonly hintErrors: number[];
  /** Absolute logarithmic errors of the last estimates. */
  readonly estimateErrors: number[];
  errorFactor: number;
}

function pushBounded(values: number[], value: number): void {
  values.push(value);
  if (values.length > HISTORY_SIZE) values.shift();
}

function sumOf(values: readonly number[]): number {
  let sum = 0;
  for (const value of values) sum += value;
  return sum;
}

/** A stated number of tokens; undefined if it cannot be one. */
function readTokens(stated: number | undefined): number | undefined {
  return stated !== undefined && Number.isFinite(stated) && stated >= 1 ? stated : undefined;
}

function logErrorBetween(first: number, second: number): number {
  return Math.min(MAXIMUM_LOG_ERROR, Math.abs(Math.log(first / second)));
}

/** Mean of the squared errors, with the assumed error until there are answers. */
function planVariance(assumedError: number, squaredErrors: readonly number[]): number {
  const assumed = assumedError * assumedError * ASSUMED_ANSWERS;
  return (assumed + sumOf(squaredErrors)) / (ASSUMED_ANSWERS + squaredErrors.length);
}

function estimateOutput(history: History | undefined, hint: OutputHint): number {
  const maximum = readTokens(hint.maximumTokens) ?? Infinity;
  const hinted = readTokens(hint.expectedTokens);
  if (history === undefined || history.outputs.length === 0) {
    const fallback = Number.isFinite(maximum) ? maximum / 2 : DEFAULT_OUTPUT_TOKENS;
    return Math.min(hinted ?? fallback, maximum);
  }
  const mean = sumOf(history.outputs) / history.outputs.length;
  if (hinted === undefined) return Math.min(mean, maximum);
  const squaredDeviations = history.outputs.map((output) => logErrorBetween(output, mean) ** 2);
  const spread = planVariance(ASSUMED_SPREAD, squaredDeviations);
  const hintError = planVariance(ASSUMED_HINT_ERROR, history.hintErrors);
  const hintWeight = spread / (spread + hintError);
  return Math.min(mean ** (1 - hintWeight) * Math.min(hinted, maximum) ** hintWeight, maximum);
}

function planErrorFactor(estimateErrors: readonly number[]): number {
  const sorted = [...estimateErrors].sort((left, right) => left - right);
  const index = Math.min(sorted.length - 1, Math.floor(sorted.length * ERROR_QUANTILE));
  return Math.exp(sorted[index] ?? ASSUMED_SPREAD);
}

export function createWorkEstimator(): WorkEstimator {
  /** By route, the least recently used first. */
  const histories = new Map<string, History>();

  function historyOf(route: string): History {
    const history = histories.get(route) ?? {
      outputs: [],
      hintErrors: [],
      estimateErrors: [],
      errorFactor: planErrorFactor([]),
    };
    histories.delete(route);
    histories.set(route, history);
    const [leastRecent] = histories.keys();
    if (histories.size > MAXIMUM_ROUTES && leastRecent !== undefined) histories.delete(leastRecent);
    return history;
  }

  return {
    estimate(route, hint): WorkEstimate {
      const history = histories.get(route);
      return {
        outputTokens: estimateOutput(history, hint),
        errorFactor: history?.errorFactor ?? planErrorFactor([]),
      };
    },
    recordAnswer(route, hint, outputTokens) {
      const output = readTokens(outputTokens);
      if (output === undefined) return;
      const history = historyOf(route);
      const hinted = readTokens(hint.expectedTokens);
      pushBounded(history.estimateErrors, logErrorBetween(estimateOutput(history, hint), output));
      history.errorFactor = planErrorFactor(history.estimateErrors);
      if (hinted !== undefined)
        pushBounded(history.hintErrors, logErrorBetween(hinted, output) ** 2);
      pushBounded(history.outputs, output);
    },
    routeCount: () => histories.size,
  };
}
