/**
 * A bounded ring of decisions, indexed by subject. Old subjects fall out first, so memory
 * stays fixed however many requests pass.
 */

/** One decision: what it was about, what was chosen, out of what, and why. */
export interface DecisionRecord {
  readonly at: string;
  readonly kind: string;
  readonly subject: string;
  readonly choice: string;
  readonly reason: string;
  readonly code?: number;
  readonly candidates?: readonly unknown[];
  /** Inputs that decided, with their age or version. */
  readonly facts?: Readonly<Record<string, string | number | boolean | undefined>>;
}

const MAXIMUM_SUBJECTS = 4096;

export interface DecisionRing {
  add(record: DecisionRecord): void;
  about(subject: string): readonly DecisionRecord[];
}

export function createDecisionRing(maximumSubjects = MAXIMUM_SUBJECTS): DecisionRing {
  const bySubject = new Map<string, DecisionRecord[]>();
  return {
    add(record) {
      if (maximumSubjects === 0) return;
      const known = bySubject.get(record.subject);
      if (known !== undefined) {
        known.push(record);
        return;
      }
      bySubject.set(record.subject, [record]);
      if (bySubject.size <= maximumSubjects) return;
      const oldest = bySubject.keys().next().value;
      if (oldest !== undefined) bySubject.delete(oldest);
    },
    about: (subject) => bySubject.get(subject) ?? [],
  };
}
