/**
 * Priority classes of a service whose streaming routes differ in priority. An account's priority
 * takes precedence over the route's, so requests are ordered by the account first; among accounts
 * of equal priority the route decides, which would be lost if the account's alone were used.
 */
import { RequestKind } from '@lapisbridge/catalog';
import type { ClientAccount, Configuration, Route } from '@lapisbridge/catalog';
import type { PriorityClass } from '@lapisbridge/load-shedding';

export interface RankedPriority {
  /** As stated to backend servers; 0 is the most urgent. */
  readonly priority: number;
  readonly priorityClass: PriorityClass;
}

/** Lowest priority that a backend server knows. */
const LOWEST_PRIORITY = 9;
/** More urgent than any route, so that the keys of different routes never coincide. */
const PRIORITY_RANGE = 1000;

const keysByConfiguration = new WeakMap<Configuration, Map<string, readonly number[]>>();

function toKey(accountPriority: number | undefined, routePriority: number): number {
  return (accountPriority ?? routePriority) * PRIORITY_RANGE + routePriority;
}

function listKeys(configuration: Configuration, service: string): readonly number[] {
  const routePriorities = new Set<number>();
  for (const route of configuration.routes) {
    if (route.kind !== RequestKind.Streaming) continue;
    const isTarget = route.targets.some((target) => target.service === service);
    if (isTarget) routePriorities.add(route.priority);
  }
  if (routePriorities.size < 2) return [];
  const accountPriorities = new Set<number | undefined>();
  for (const account of configuration.accountsByKey?.values() ?? []) {
    accountPriorities.add(account.priority);
  }
  if (accountPriorities.size === 0) accountPriorities.add(undefined);
  const keys = new Set<number>();
  for (const accountPriority of accountPriorities) {
    for (const routePriority of routePriorities) keys.add(toKey(accountPriority, routePriority));
  }
  return [...keys].sort((left, right) => left - right);
}

function findKeys(configuration: Configuration, service: string): readonly number[] {
  let byService = keysByConfiguration.get(configuration);
  if (byService === undefined) {
    byService = new Map();
    keysByConfiguration.set(configuration, byService);
  }
  let keys = byService.get(service);
  if (keys === undefined) {
    keys = listKeys(configuration, service);
    byService.set(service, keys);
  }
  return keys;
}

export function rankPriority(
  configuration: Configuration,
  service: string,
  route: Pick<Route, 'kind' | 'priority'>,
  account: Pick<ClientAccount, 'priority'> | undefined,
): RankedPriority {
  const keys = findKeys(configuration, service);
  if (route.kind !== RequestKind.Streaming || keys.length === 0) {
    const priority = account?.priority ?? route.priority;
    return { priority, priorityClass: { index: 0, count: 1 } };
  }
  const key = toKey(account?.priority, route.priority);
  const index = Math.max(0, keys.filter((known) => known <= key).length - 1);
  const count = keys.length;
  const scale = Math.min(1, LOWEST_PRIORITY / Math.max(1, count - 1));
  return { priority: Math.floor(index * scale), priorityClass: { index, count } };
}
