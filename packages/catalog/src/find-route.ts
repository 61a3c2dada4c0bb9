/**
 * Finds the route of a request, the account of its API key and the service to use. The functions
 * are pure and take the configuration as an argument, so that all decisions on a request use the
 * same version.
 */
import type { ClientAccount, Configuration, Route } from './types.js';

/** Returns the host's route with the longest prefix that matches the path, if any. */
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

/** Outcome of an access check. */
export enum AccessKind {
  Granted = 'granted',
  UnknownKey = 'unknownKey',
}

/** The account is undefined on public routes and in deployments without keys. */
export type Access =
  | { readonly kind: AccessKind.Granted; readonly account: ClientAccount | undefined }
  | { readonly kind: AccessKind.UnknownKey };

/** Checks the API key of a request; public routes accept any key or none. */
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

/** Picks a service in proportion to the route's weights; `sample` is uniform in [0, 1). */
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
