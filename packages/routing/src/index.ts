/**
 * Load balancing of an entry: choice of a backend server, connection subsets and the retry budget.
 */
export {
  ChoiceKind,
  ChoiceReason,
  estimateMilliseconds,
  occupancyOf,
  planChoice,
} from './plan-choice.js';
export type {
  Candidate,
  CandidateScore,
  Choice,
  ChoiceInput,
  ChoicePolicy,
} from './plan-choice.js';
export { planSubset } from './plan-subset.js';
export type { SubsetMember } from './plan-subset.js';
export { rendezvousOrder, rendezvousWeight } from './rendezvous.js';
export { createRetryBudget } from './retry-budget.js';
export type { RetryBudget, RetryBudgetOptions } from './retry-budget.js';
export { planGroupOrder } from './plan-group-choice.js';
export type { GroupChoiceInput, GroupView } from './plan-group-choice.js';
export { planGroupedServerChoice } from './plan-grouped-server-choice.js';
export type { GroupedServerChoiceInput, GroupFacts } from './plan-grouped-server-choice.js';
export { planServerChoice, ServerChoiceKind } from './plan-server-choice.js';
export type { ServerChoice, ServerChoiceInput, ServerView } from './plan-server-choice.js';
