/**
 * Reports of one rank of a lock-step group, and the orders that it accepts. All ranks run each
 * forward pass together. The engine switches a rank to its prepared map at the start of the pass
 * that the rank is armed for. A hold at one rank keeps the whole group from starting a pass until
 * that rank is told to release it.
 */
import type { ExpertMap } from './expert-map.js';

/** Valid numbers, both bounds included. Ranks are indices of lists; no group has as many. */
export const RANKS = { minimum: 0, maximum: 65_535 } as const;
export const GROUP_SIZES = { minimum: 1, maximum: RANKS.maximum + 1 } as const;
export const EPOCHS = { minimum: 0, maximum: Number.MAX_SAFE_INTEGER } as const;

/** A prepared map that comes into force at the start of a pass. */
export interface ArmedMap {
  readonly version: number;
  /** Number of that pass. */
  readonly step: number;
}

export interface RankReport {
  readonly group: string;
  readonly rank: number;
  /** Number of ranks in the group. */
  readonly size: number;
  /** Increases each time the group re-forms; it then has its first map and no pending orders. */
  readonly epoch: number;
  /** False while the group is broken. */
  readonly isOpen: boolean;
  /** Number of the last pass that was started. */
  readonly step: number;
  readonly activeVersion: number;
  /** Version whose experts are all loaded, so that it can be armed. */
  readonly preparedVersion: number | undefined;
  readonly armed: ArmedMap | undefined;
  /** Number of the pass that this rank keeps the group from starting. */
  readonly heldStep: number | undefined;
  /** Slowdown of this rank compared with its usual speed; 1 when healthy. */
  readonly pace: number;
  readonly running: number;
  readonly waiting: number;
  /** Tokens that the server's memory holds; undefined if it does not state them. */
  readonly memoryTokens?: number | undefined;
}

/** Maps of one group, one for each layer set. */
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
  /** Started or completed. */
  Accepted = 'accepted',
  /** The order does not fit the rank's state. */
  Refused = 'refused',
  /** A newer leader's orders are in force, and this leader's are refused. */
  Fenced = 'fenced',
  /** No answer: the order may still be carried out, even seconds later. */
  Unknown = 'unknown',
}
