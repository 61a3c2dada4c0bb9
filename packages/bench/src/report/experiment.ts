/**
 * What an experiment is and what it yields.
 */
import type { Random } from '@lapisbridge/kernel';

export interface ExperimentContext {
  readonly seed: number;
  readonly random: Random;
  /** Tells how far the experiment is. */
  progress(text: string): void;
}

export type Cell = string | number;

export interface Table {
  readonly title: string;
  readonly columns: readonly string[];
  readonly rows: readonly (readonly Cell[])[];
}

/** One line of a plot. */
export interface Series {
  readonly name: string;
  readonly points: readonly { readonly x: number; readonly y: number }[];
}

export interface Plot {
  readonly title: string;
  readonly xLabel: string;
  readonly yLabel: string;
  readonly series: readonly Series[];
}

export interface ExperimentResult {
  readonly tables: readonly Table[];
  readonly plots: readonly Plot[];
  readonly notes: readonly string[];
}

export interface Experiment {
  readonly name: string;
  readonly description: string;
  run(context: ExperimentContext): Promise<ExperimentResult>;
}
