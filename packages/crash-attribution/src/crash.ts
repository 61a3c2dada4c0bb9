/**
 * What is known of crashed backend servers, and how their crashes are explained. Both what decides
 * about prompt parts and what decides about requests work on crashes that nothing explains yet.
 * Pure.
 */

/** What is known of the end of one process of a backend server. */
export interface Crash {
  /** Identifies the process. */
  readonly server: string;
  /** Milliseconds on the clock of `now`. */
  readonly endedAt: number;
  /** Shared prompt parts of the requests that were lost unanswered. */
  readonly suspects: ReadonlySet<string>;
  /**
   * Generations of the lost requests by their digests: 1 for an attempt that was sent before any
   * crash under the request was known, and one more than that of the known crash for a later one.
   */
  readonly requests: ReadonlyMap<string, number>;
}

export interface QuarantineInput {
  readonly crashes: readonly Crash[];
  /** Prompt parts and requests that are already blamed; their crashes are explained. */
  readonly quarantined: ReadonlySet<string>;
  /** Whether the prompt part or request cannot have caused the crash. */
  isCleared(cause: string, crash: Crash): boolean;
  readonly now: number;
}

/** A prompt part or a request to blame. */
export interface Blame {
  readonly cause: string;
  /** Processes that ended under it. */
  readonly servers: readonly string[];
}

/** Whether a request with a blamed prompt part was lost with the server. */
export function hasBlamedPart({ suspects }: Crash, blamed: ReadonlySet<string>): boolean {
  for (const part of suspects) if (blamed.has(part)) return true;
  return false;
}

/**
 * Blames one cause after the other, until none is found. `findCulprit` is given what is blamed so
 * far: the crashes of a culprit say nothing about the requests that were lost beside it.
 */
export function blameEach(
  { quarantined }: QuarantineInput,
  findCulprit: (blamed: ReadonlySet<string>) => Blame | undefined,
): Blame[] {
  const blames: Blame[] = [];
  const blamed = new Set(quarantined);
  for (;;) {
    const blame = findCulprit(blamed);
    if (blame === undefined) return blames;
    blames.push(blame);
    blamed.add(blame.cause);
  }
}
