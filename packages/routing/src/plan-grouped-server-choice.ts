/**
 * Chooses a lock-step group first and then a server in it. With fewer than two groups the choice is
 * that of the server alone. Pure.
 */
import { planGroupOrder } from './plan-group-choice.js';
import type { GroupView } from './plan-group-choice.js';
import { planServerChoice, ServerChoiceKind } from './plan-server-choice.js';
import type { ServerChoice, ServerChoiceInput, ServerView } from './plan-server-choice.js';

export type GroupFacts = Pick<
  GroupView,
  'passMilliseconds' | 'passAgeMilliseconds' | 'isSilent' | 'maximumStreams'
>;

export interface GroupedServerChoiceInput extends ServerChoiceInput {
  /** Names of the servers' groups, by instance id; servers without a group are missing. */
  readonly groupsByServer: ReadonlyMap<string, string>;
  /** Longest pause between events that is in time; 0 if the route states none. */
  readonly gapObjectiveMilliseconds: number;
  /** What the entry knows of a group apart from the load of its servers. */
  describeGroup(group: string): GroupFacts;
}

function collectGroups(
  input: GroupedServerChoiceInput,
): ReadonlyMap<string, readonly ServerView[]> | undefined {
  const groups = new Map<string, ServerView[]>();
  for (const view of input.views) {
    const group = input.groupsByServer.get(view.instanceId);
    if (group === undefined) return undefined;
    const members = groups.get(group);
    if (members === undefined) groups.set(group, [view]);
    else members.push(view);
  }
  return groups.size < 2 ? undefined : groups;
}

function toGroupView(
  group: string,
  members: readonly ServerView[],
  input: GroupedServerChoiceInput,
): GroupView {
  let streams = 0;
  let slots = 0;
  let isStopped = false;
  for (const view of members) {
    streams += view.outstanding;
    slots += view.slots;
    if (view.brokenForMilliseconds !== undefined) isStopped = true;
  }
  return { group, streams, slots, isStopped, ...input.describeGroup(group) };
}

export function planGroupedServerChoice(input: GroupedServerChoiceInput): ServerChoice {
  const groups = collectGroups(input);
  if (groups === undefined) return planServerChoice(input);
  const views = [...groups].map(([group, members]) => toGroupView(group, members, input));
  const order = planGroupOrder({
    groups: views,
    gapObjectiveMilliseconds: input.gapObjectiveMilliseconds,
    unreportedArrivals: input.unreportedArrivals,
    random: input.random,
  });
  for (const group of order) {
    const choice = planServerChoice({
      ...input,
      views: groups.get(group) ?? [],
      // The arrivals that nobody has reported yet are divided among the groups.
      unreportedArrivals: input.unreportedArrivals / groups.size,
    });
    if (choice.kind === ServerChoiceKind.Chosen) return choice;
  }
  // The refusal has to hold for the whole service.
  return planServerChoice(input);
}
