/** Decides when a late request is sent to a second server. */
export { createHedgeBudget } from './create-hedge-budget.js';
export type { HedgeBudgetOptions } from './create-hedge-budget.js';
export type { HedgeBudget, HedgeCount, HedgeLimit } from './hedge-budget.js';
export { HedgeDenial, HedgePlanKind, planHedge } from './plan-hedge.js';
export type { HedgePlan, HedgeSituation, ServiceCapacity } from './plan-hedge.js';
