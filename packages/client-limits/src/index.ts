/**
 * Bounds what clients may hold of a process, whatever they send: connections, requests, heads that
 * are not complete, and bodies.
 */
export { createClientGuard, MAXIMUM_HEADER_BYTES } from './client-guard.js';
export type { ClientGuard, ClientUsage, GuardedServerOptions } from './client-guard.js';
export { determineMachineSize } from './machine-size.js';
export type { MachineSize } from './machine-size.js';
export { planClientLimits } from './plan-client-limits.js';
export type { ClientLimits } from './plan-client-limits.js';
export { BodyStage } from './plan-eviction.js';
export { registerClientMetrics } from './register-client-metrics.js';
export { LimitCause } from './pressure-log.js';
export { BodyEndKind } from './read-body.js';
export type { BodyEnd, BodyOptions } from './read-body.js';
