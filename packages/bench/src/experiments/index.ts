/**
 * The experiments by name.
 */
import type { Experiment } from '../report/experiment.js';
import { fairnessExperiment } from './fairness.js';
import { groupCostExperiment } from './group-cost.js';
import { overheadExperiment } from './overhead.js';
import { placementExperiment } from './placement.js';
import { routingExperiment } from './routing.js';
import { sharesExperiment } from './shares.js';
import { slopesExperiment } from './slopes.js';
import { tokenCostExperiment } from './token-cost.js';
import { zoneExperiment } from './zone.js';

export const EXPERIMENTS: readonly Experiment[] = [
  placementExperiment,
  zoneExperiment,
  routingExperiment,
  fairnessExperiment,
  overheadExperiment,
  slopesExperiment,
  groupCostExperiment,
  tokenCostExperiment,
  sharesExperiment,
];
