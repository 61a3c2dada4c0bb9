/**
 * Decides what becomes of a caller's request before anything is sent on: on one version of the
 * configuration, from what the request itself says. Pure.
 */
import { AccessKind, checkAccess, findRoute, pickService } from '@lapisbridge/catalog';
import type { ClientAccount, Configuration, Route } from '@lapisbridge/catalog';

import type { CallerRequest } from './caller-protocol.js';
import { planReplyMargin } from './reply-margin.js';

export enum AdmissionKind {
  Accepted = 'accepted',
  /** The request itself is wrong; asking again changes nothing. */
  Improper = 'improper',
  /** Nothing is known that could decide it. */
  NotKnown = 'notKnown',
}

export enum Impropriety {
  NoRequestId = 'noRequestId',
  NoRoute = 'noRoute',
  UnknownKey = 'unknownKey',
}

export type Admission =
  | {
      readonly kind: AdmissionKind.Accepted;
      readonly requestId: string;
      readonly route: Route;
      readonly service: string;
      readonly account: ClientAccount | undefined;
      readonly timeoutMilliseconds: number;
    }
  | { readonly kind: AdmissionKind.Improper; readonly fault: Impropriety }
  | { readonly kind: AdmissionKind.NotKnown };

export interface AdmissionInput {
  readonly configuration: Configuration | undefined;
  /** Whether the configuration may be outdated, so that what it lacks may exist by now. */
  readonly isOutdated: boolean;
  readonly request: CallerRequest;
  /** Uniform in [0, 1); picks among the services of a split route. */
  readonly share: number;
}

/** Milliseconds after which the caller is answered in any case. */
function planTimeout(route: Route, patienceMilliseconds: number | undefined): number {
  if (patienceMilliseconds === undefined) return route.timeoutMilliseconds;
  const latest = patienceMilliseconds - planReplyMargin(patienceMilliseconds);
  return Math.min(route.timeoutMilliseconds, latest);
}

export function planAdmission(input: AdmissionInput): Admission {
  const { configuration, request, isOutdated } = input;
  if (configuration === undefined) return { kind: AdmissionKind.NotKnown };
  if (request.requestId === undefined) {
    return { kind: AdmissionKind.Improper, fault: Impropriety.NoRequestId };
  }
  const path = request.target.split('?', 1)[0] ?? '';
  const route = findRoute(configuration, request.host, path);
  if (route === undefined) {
    if (isOutdated) return { kind: AdmissionKind.NotKnown };
    return { kind: AdmissionKind.Improper, fault: Impropriety.NoRoute };
  }
  const access = checkAccess(configuration, route, request.key);
  if (access.kind === AccessKind.UnknownKey) {
    if (isOutdated) return { kind: AdmissionKind.NotKnown };
    return { kind: AdmissionKind.Improper, fault: Impropriety.UnknownKey };
  }
  return {
    kind: AdmissionKind.Accepted,
    requestId: request.requestId,
    route,
    service: pickService(route, input.share),
    account: access.account,
    timeoutMilliseconds: planTimeout(route, request.patienceMilliseconds),
  };
}
