/**
 * Decides whether the memories of a service's sidecars prove that a key never ran; used
 * while the table is down.
 */
import type { KeyAnswer } from '@lapisbridge/wire';

/**
 * Proved only if every sidecar answered, none has seen the key, and every sidecar life that
 * any of them knows of is among those that answered. A life that is over may have run the
 * key, and nobody can tell any more.
 */
export function provesNotRun(answers: readonly (KeyAnswer | undefined)[]): boolean {
  if (answers.length === 0) return false;
  const answered = new Set<string>();
  for (const answer of answers) {
    if (answer === undefined || answer.seen) return false;
    answered.add(answer.life);
  }
  for (const answer of answers) {
    for (const life of answer?.knownLives ?? []) {
      if (!answered.has(life)) return false;
    }
  }
  return true;
}
