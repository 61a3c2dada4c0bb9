/**
 * Finds the route of a request and the account behind its key. Pure: one configuration in, one
 * decision out, so that a request is decided on a single version.
 */
import type { ClientAccount, Configuration, Route } from './types.js';

/** The route of this host with the longest prefix that begins the path. */
export function findRoute(
  configuration: Configuration,
  host: string,
  path: string,
): Route | undefined {
  let best: Route | undefined;
  for (const route of configuration.routes) {
    if (route.host !== host || !path.startsWith(route.prefix)) continue;
    if (best === undefined || route.prefix.length > best.prefix.length) best = route;
  }
  return best;
}

export enum AccessKind {
  Granted = 'granted',
  UnknownKey = 'unknownKey',
}

export type Access =
  | { readonly kind: AccessKind.Granted; readonly account: ClientAccount | undefined }
  | { readonly kind: AccessKind.UnknownKey };

export function checkAccess(
  configuration: Configuration,
  route: Route,
  key: string | undefined,
): Access {
  const { accountsByKey } = configuration;
  if (accountsByKey === undefined) return { kind: AccessKind.Granted, account: undefined };
  const account = key === undefined ? undefined : accountsByKey.get(key);
  if (account === undefined && !route.isPublic) return { kind: AccessKind.UnknownKey };
  return { kind: AccessKind.Granted, account };
}

/** Picks a service in proportion to the route's weights; `share` is uniform in [0, 1). */
export function pickService(route: Route, sample: number): string {
  let totalWeight = 0;
  for (const { weight } of route.targets) totalWeight += weight;
  let remainingWeight = sample * totalWeight;
  for (const { service, weight } of route.targets) {
    remainingWeight -= weight;
    if (remainingWeight < 0) return service;
  }
  return route.targets.at(-1)?.service ?? '';
}
