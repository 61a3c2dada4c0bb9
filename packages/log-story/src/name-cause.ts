/**
 * Names the cause of a request's outcome in one sentence, from its decisions and from what the
 * deciding instance believed.
 */
import type { Belief, StoryStep } from './tell-story.js';

/** Pauses and first events beyond these are worth a remark; callers hope for less. */
const LONG_PAUSE_MILLISECONDS = 120;
const LATE_FIRST_EVENT_MILLISECONDS = 400;

const REFUSALS: Readonly<Record<string, string>> = {
  noConfiguration: 'the entry knew no configuration yet',
  noServer: 'the entry knew no backend server of the service that takes work',
  full: 'every backend server that could be tried was full or out of reach',
  crowded: 'every slot was taken',
  contended: 'its priority class gave way while the service was short of capacity',
  backingOff: 'every backend server that could be tried had asked to be sent nothing for a while',
  groupBroken: 'the lock-step group of its backend servers stood still',
  quarantined: 'a part of its prompt crashes the servers that answer it',
  budgetSpent: 'one more attempt would have exceeded the retry budget',
  tooLarge: 'its prompt exceeds the memory of every backend server of its service',
  expired: 'its time was up before it could be sent',
  400: 'it was not a proper request',
  401: 'its key is not in the configuration',
  404: 'no route of the configuration matches it',
  413: 'its body is larger than the configuration allows',
  503: 'the entry knew no configuration, or an outdated one',
};

function seconds(milliseconds: number): string {
  return `${(milliseconds / 1000).toFixed(1)} s`;
}

/** What was lost on the deciding instance at the time, as a clause; empty when nothing was. */
function lossesOf(beliefs: readonly Belief[]): string {
  const lost = beliefs.filter(({ state }) => state.includes('lost'));
  if (lost.length === 0) return '';
  const clauses = lost.map(
    ({ matter, state, ageMilliseconds }) =>
      `${matter}: ${state} ${seconds(ageMilliseconds)} before`,
  );
  return ` (${clauses.join('; ')})`;
}

function describeAnswer(step: StoryStep): string {
  const { firstEvent, longestPause, sends, milliseconds } = step.facts;
  const remarks: string[] = [];
  if (typeof firstEvent === 'number' && firstEvent > LATE_FIRST_EVENT_MILLISECONDS) {
    remarks.push(`its first event came after ${firstEvent} ms`);
  }
  if (typeof longestPause === 'number' && longestPause > LONG_PAUSE_MILLISECONDS) {
    remarks.push(`it paused for ${longestPause} ms`);
  }
  if (typeof sends === 'number' && sends > 1) remarks.push(`it took ${sends} sends`);
  const tail = remarks.length === 0 ? '' : `; ${remarks.join('; ')}`;
  return `Answered by ${step.choice} after ${String(milliseconds)} ms${tail}.`;
}

export function nameCause(steps: readonly StoryStep[], beliefs: readonly Belief[]): string {
  const last = steps.at(-1);
  if (last === undefined) return 'Nothing is known of it.';
  const losses = lossesOf(beliefs);
  switch (last.kind) {
    case 'answer':
      return describeAnswer(last);
    case 'refusal': {
      const named = REFUSALS[last.choice] ?? last.reason;
      const cause = last.choice === 'quarantined' ? `${named}: ${last.reason}` : named;
      return `Refused as not run, since ${cause}${losses}.`;
    }
    case 'failure':
      return last.choice === 'timeout'
        ? `Given up when its time was up; it may have run: ${last.reason}${losses}.`
        : `Failed, and may have run: ${last.reason}${losses}.`;
    case 'gone':
      return `The caller left after ${String(last.facts.milliseconds)} ms, before its answer was complete${losses}.`;
    default:
      return `No outcome is logged; the last decision is ${last.kind} (${last.choice})${losses}.`;
  }
}
