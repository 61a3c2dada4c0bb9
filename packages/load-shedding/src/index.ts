/** Decides which streams are held or admitted while a service is short of capacity. */
export { createAccountShares, DemandScope } from './account-shares.js';
export type {
  AccountDemand,
  AccountLimit,
  AccountShares,
  AccountSharesOptions,
  DemandSource,
} from './account-shares.js';
export type { DemandStatement } from './combine-demand.js';
export { planAdmittedShare } from './class-admission.js';
export type { ClassAdmissionInput, PriorityClass } from './class-admission.js';
export { createGroupConcurrency } from './group-concurrency.js';
export type {
  GroupConcurrency,
  GroupConcurrencyOptions,
  GroupLimitInput,
} from './group-concurrency.js';
export { planClassReturn } from './plan-class-return.js';
export { planConcurrencyLimit } from './plan-concurrency-limit.js';
export type { ConcurrencyLimitInput, PassObservation } from './plan-concurrency-limit.js';
export { planPassHold } from './plan-pass-hold.js';
export type { PassHoldInput } from './plan-pass-hold.js';
