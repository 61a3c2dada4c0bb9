/**
 * The story of one request: its decisions in order, what the instance that took them believed at
 * the time, and the cause of its outcome in one sentence.
 */
import { nameCause } from './name-cause.js';
import type { LogLine } from './read-log-lines.js';

export interface StoryStep {
  readonly time: string;
  /** Since the first decision about the request, in milliseconds. */
  readonly afterMilliseconds: number;
  readonly instance: string;
  readonly kind: string;
  readonly choice: string;
  readonly reason: string;
  readonly facts: Readonly<Record<string, unknown>>;
}

/** The last word of an instance on one matter before its last decision about the request. */
export interface Belief {
  readonly matter: string;
  readonly state: string;
  /** Age of that word at the last decision, in milliseconds. */
  readonly ageMilliseconds: number;
}

export interface Story {
  readonly requestId: string;
  readonly steps: readonly StoryStep[];
  readonly beliefs: readonly Belief[];
  readonly cause: string;
}

/** What a line says of the state of something, or undefined where it says none. */
function beliefOf(line: LogLine): { matter: string; state: string } | undefined {
  const { event, fields } = line;
  switch (event) {
    case 'configuration in force':
      return { matter: 'configuration', state: `version ${String(fields.version ?? 'none')}` };
    case 'store lost':
    case 'store regained':
      return { matter: 'store', state: event };
    case 'group lost':
    case 'group regained':
      return {
        matter: `group ${String(fields.group)}`,
        state: `${event}, ${String(fields.cause)}`,
      };
    case 'server rate limit':
      return {
        matter: `rate limit of ${String(fields.server)}`,
        state: `${String(fields.requestsPerSecond)} requests a second`,
      };
    case 'server leaving':
    case 'leaving server gone':
      return { matter: `departure of ${String(fields.server)}`, state: event };
    case 'server backoff':
      return {
        matter: `backoff of ${String(fields.server)}`,
        state: `asked for ${String(fields.milliseconds)} ms without requests`,
      };
    case 'prompt part quarantined':
    case 'prompt part released':
      return { matter: `prompt part ${String(fields.part)}`, state: event };
    case 'request quarantined':
    case 'request released':
      return { matter: `request ${String(fields.request)}`, state: event };
    case 'copy taken from a peer':
      return { matter: `copy of ${String(fields.table)}`, state: `from ${String(fields.host)}` };
    case 'started':
      return { matter: 'process', state: 'started' };
    case 'stopping':
      return { matter: 'process', state: 'stopping' };
    default:
      return undefined;
  }
}

function beliefsOf(lines: readonly LogLine[], decider: LogLine): Belief[] {
  const byMatter = new Map<string, Belief>();
  for (const line of lines) {
    if (line.at > decider.at) break;
    if (line.instance !== decider.instance) continue;
    // A process that starts anew knows nothing of its former life.
    if (line.event === 'started') byMatter.clear();
    const belief = beliefOf(line);
    if (belief !== undefined) {
      byMatter.set(belief.matter, { ...belief, ageMilliseconds: decider.at - line.at });
    }
  }
  return [...byMatter.values()];
}

function toStep(line: LogLine, startedAt: number): StoryStep {
  return {
    time: line.time,
    afterMilliseconds: line.at - startedAt,
    instance: line.instance,
    kind: line.kind ?? line.event,
    choice: line.choice ?? '',
    reason: line.reason ?? '',
    facts: line.facts ?? {},
  };
}

/** Undefined when no line is about the request. `lines` are in order of time. */
export function tellStory(lines: readonly LogLine[], requestId: string): Story | undefined {
  const own = lines.filter(({ subject }) => subject === requestId);
  const [first] = own;
  const last = own.at(-1);
  if (first === undefined || last === undefined) return undefined;
  const steps = own.map((line) => toStep(line, first.at));
  const beliefs = beliefsOf(lines, last);
  return { requestId, steps, beliefs, cause: nameCause(steps, beliefs) };
}
