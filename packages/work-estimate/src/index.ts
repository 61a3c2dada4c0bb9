/** Estimates the output of a request before it runs. */
export { createWorkEstimator } from './create-work-estimator.js';
export type { OutputHint, WorkEstimate, WorkEstimator } from './work-estimator.js';
