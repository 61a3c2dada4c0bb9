/**
 * What one rank of a lock-step group says of itself, and the orders it takes. The engine
 * switches a rank to a prepared map as the pass begins for which it was armed; a hold keeps the
 * whole group from beginning a pass until it is released at that rank.
 */
import type { ExpertMap } from './expert-map.js';

export interface ArmedMap {
  readonly version: number;
  readonly step: number;
}

export interface RankReport {
  readonly group: string;
  readonly rank: number;
  /** Ranks of the group. */
  readonly size: number;
  /** Rises each time the group forms anew; it then has its first map and no orders. */
  readonly epoch: number;
  readonly isOpen: boolean;
  /** Last pass that was begun. */
  readonly step: number;
  readonly activeVersion: number;
  /** Version whose experts are all loaded, ready to be armed. */
  readonly preparedVersion: number | undefined;
  readonly armed: ArmedMap | undefined;
  /** Pass that this rank keeps the group from beginning. */
  readonly heldStep: number | undefined;
  /** How much slower than usual this rank is; 1 when sound. */
  readonly pace: number;
  readonly running: number;
  readonly waiting: number;
}

/** Maps of one group: one for each set of layers. */
export interface GroupMap {
  readonly sets: readonly ExpertMap[];
}

export enum RankOrderKind {
  Prepare = 'prepare',
  Arm = 'arm',
  Disarm = 'disarm',
  Hold = 'hold',
  Release = 'release',
}

export type RankOrder =
  | {
      readonly kind: RankOrderKind.Prepare;
      readonly epoch: number;
      readonly version: number;
      readonly map: GroupMap;
    }
  | {
      readonly kind: RankOrderKind.Arm;
      readonly epoch: number;
      readonly version: number;
      readonly step: number;
    }
  | { readonly kind: RankOrderKind.Disarm; readonly epoch: number; readonly version: number }
  | { readonly kind: RankOrderKind.Hold; readonly epoch: number; readonly step: number }
  | { readonly kind: RankOrderKind.Release; readonly epoch: number; readonly step: number };

export enum OrderOutcome {
  /** Begun or done. */
  Accepted = 'accepted',
  /** The rank's state does not fit. */
  Refused = 'refused',
  /** A newer leader's orders are in force. */
  Fenced = 'fenced',
  /** No answer: it may be carried out yet, even seconds later. */
  Unknown = 'unknown',
}
