/**
 * Decides whether a caller's request is admitted, before anything is forwarded. Uses one version
 * of the configuration and what the request itself states. Pure.
 */
import { AccessKind, checkAccess, findRoute, pickService } from '@lapisbridge/catalog';
import type { ClientAccount, Configuration, Route } from '@lapisbridge/catalog';

import type { CallerRequest } from './caller-protocol.js';
import { computeReplyMargin } from './reply-margin.js';

export enum AdmissionKind {
  Accepted = 'accepted',
  /** The request itself is invalid; a retry cannot succeed. */
  Rejected = 'improper',
  /** The configuration is missing or may be outdated, so the request cannot be judged. */
  Undecided = 'notKnown',
}

export enum RejectionReason {
  MissingRequestId = 'noRequestId',
  RouteNotFound = 'noRoute',
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
  | { readonly kind: AdmissionKind.Rejected; readonly reason: RejectionReason }
  | { readonly kind: AdmissionKind.Undecided };

export interface AdmissionInput {
  readonly configuration: Configuration | undefined;
  /** Whether the configuration may be outdated: routes or keys it lacks may exist by now. */
  readonly isOutdated: boolean;
  readonly request: CallerRequest;
  /** Uniform in [0, 1); selects a service when the route splits its traffic. */
  readonly randomValue: number;
}

/** Milliseconds after which the caller gets a response in any case. */
function computeTimeout(route: Route, callerTimeoutMilliseconds: number | undefined): number {
  if (callerTimeoutMilliseconds === undefined) return route.timeoutMilliseconds;
  const latest = callerTimeoutMilliseconds - computeReplyMargin(callerTimeoutMilliseconds);
  return Math.min(route.timeoutMilliseconds, latest);
}

export function decideAdmission(input: AdmissionInput): Admission {
  const { configuration, request, isOutdated } = input;
  if (configuration === undefined) return { kind: AdmissionKind.Undecided };
  if (request.requestId === undefined) {
    return { kind: AdmissionKind.Rejected, reason: RejectionReason.MissingRequestId };
  }
  const path = request.target.split('?', 1)[0] ?? '';
  const route = findRoute(configuration, request.host, path);
  if (route === undefined) {
    if (isOutdated) return { kind: AdmissionKind.Undecided };
    return { kind: AdmissionKind.Rejected, reason: RejectionReason.RouteNotFound };
  }
  const access = checkAccess(configuration, route, request.key);
  if (access.kind === AccessKind.UnknownKey) {
    if (isOutdated) return { kind: AdmissionKind.Undecided };
    return { kind: AdmissionKind.Rejected, reason: RejectionReason.UnknownKey };
  }
  return {
    kind: AdmissionKind.Accepted,
    requestId: request.requestId,
    route,
    service: pickService(route, input.randomValue),
    account: access.account,
    timeoutMilliseconds: computeTimeout(route, request.callerTimeoutMilliseconds),
  };
}
