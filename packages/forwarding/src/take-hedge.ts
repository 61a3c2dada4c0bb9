/**
 * Takes what a duplicate of a late request needs: the decision, a second server with a free slot,
 * and a place in the operators' limit and in the retry budget.
 */
import type { BackendServer } from '@lapisbridge/catalog';
import { HedgeDenial, HedgePlanKind, planHedge } from '@lapisbridge/hedging';
import type { HedgeBudget, ServiceCapacity } from '@lapisbridge/hedging';
import type { ServerView } from '@lapisbridge/routing';

import { chooseServer } from './choose-server.js';
import { describeAttempt, findQuarantinedCause } from './forward-context.js';
import type { AcceptedRequest, ForwardContext, RequestProgress } from './forward-context.js';
import type { RetryAccount } from './retry-account.js';
import { RetryCause } from './retry-budget-share.js';
import type { AttemptContent } from './server-end-detector.js';

export interface HedgeRequest {
  readonly context: ForwardContext;
  readonly accepted: AcceptedRequest;
  readonly progress: RequestProgress;
  readonly retries: RetryAccount;
  readonly maximumSends: number;
  /** Whether the request may run twice, and its caller has received nothing yet. */
  readonly isRepeatable: boolean;
  /** Milliseconds since the attempt that is late was started. */
  readonly elapsedMilliseconds: number;
  readonly canServeInTime?: ((view: ServerView) => boolean) | undefined;
}

export interface Hedge {
  readonly server: BackendServer;
  readonly content: AttemptContent;
}

function describeCapacity(context: ForwardContext, accepted: AcceptedRequest): ServiceCapacity {
  const { service, configuration } = accepted;
  let servers = 0;
  let serversWithFreeSlot = 0;
  for (const server of context.catalog.servers().servers.values()) {
    if (server.service !== service || server.draining) continue;
    servers += 1;
    if (hasFreeSlot(context, server)) serversWithFreeSlot += 1;
  }
  const engine = configuration.services.get(service)?.engine;
  const isGrouped = engine !== undefined && engine.sets > 0;
  const isGroupStopped = isGrouped && context.pulse.hasServiceStalled(service);
  return { servers, serversWithFreeSlot, isGroupStopped };
}

/** Without a recent report a server counts as full. */
function hasFreeSlot({ ledger, groupHealth }: ForwardContext, server: BackendServer): boolean {
  if (groupHealth.brokenForMilliseconds(server) !== undefined) return false;
  return ledger.hasFreeSlot(server) && !ledger.isQueueing(server.instanceId);
}

/** Takes from both budgets, or returns which one does not permit the duplicate. */
function takeFromBudgets(
  hedges: HedgeBudget,
  retries: RetryAccount,
  service: string,
): HedgeDenial | undefined {
  if (!hedges.tryTake(service)) return HedgeDenial.LimitUsed;
  if (retries.tryBegin(RetryCause.Hedged)) return undefined;
  hedges.refund(service);
  return HedgeDenial.RetryBudgetUsed;
}

type HedgeDecision =
  | { readonly kind: HedgePlanKind.Send; readonly hedge: Hedge }
  | { readonly kind: HedgePlanKind.Deny; readonly denial: HedgeDenial };

function deny(denial: HedgeDenial): HedgeDecision {
  return { kind: HedgePlanKind.Deny, denial };
}

/** Returns the duplicate to send, counted in `progress`, or why there is none. */
function decide(request: HedgeRequest, hedges: HedgeBudget): HedgeDecision {
  const { context, accepted, progress, retries, maximumSends, isRepeatable } = request;
  if (findQuarantinedCause(context, accepted) !== undefined) return deny(HedgeDenial.ServersEnded);
  const plan = planHedge({
    isRepeatable,
    runs: progress.runs,
    maximumAttempts: accepted.route.maximumAttempts,
    sends: progress.sends,
    maximumSends,
    endedServers: context.crashLedger.generationOf(accepted.digest),
    capacity: describeCapacity(context, accepted),
  });
  if (plan.kind === HedgePlanKind.Deny) return plan;
  const { server } = chooseServer(context, accepted, progress, request.canServeInTime);
  if (server === undefined) return deny(HedgeDenial.NoServer);
  if (!hasFreeSlot(context, server)) return deny(HedgeDenial.NoCapacity);
  const denial = takeFromBudgets(hedges, retries, accepted.service);
  if (denial !== undefined) return deny(denial);
  const content = describeAttempt(context, accepted, progress);
  progress.sends += 1;
  progress.runs += 1;
  progress.tried.add(server.instanceId);
  return { kind: HedgePlanKind.Send, hedge: { server, content } };
}

/** Returns the duplicate to send now; undefined when none may be sent. */
export function takeHedge(request: HedgeRequest): Hedge | undefined {
  const { context, accepted, progress } = request;
  const { hedges } = context;
  if (hedges === undefined) return undefined;
  const decision = decide(request, hedges);
  const facts = {
    milliseconds: Math.round(request.elapsedMilliseconds),
    route: accepted.route.name,
    runs: progress.runs,
  };
  const subject = accepted.requestId;
  switch (decision.kind) {
    case HedgePlanKind.Send: {
      const choice = decision.hedge.server.instanceId;
      const reason = 'later than usual for the route';
      context.logger.decision({ kind: 'hedge', subject, choice, reason, facts });
      return decision.hedge;
    }
    case HedgePlanKind.Deny: {
      const { denial } = decision;
      hedges.recordDenial(accepted.service, denial);
      context.logger.decision({ kind: 'hedge', subject, choice: 'none', reason: denial, facts });
      return undefined;
    }
    default: {
      const unreachable: never = decision;
      return unreachable;
    }
  }
}

export interface HedgeWinner {
  readonly server: BackendServer;
  readonly isHedge: boolean;
  /** Server of the late attempt, if that one is cancelled without an answer. */
  readonly overtaken: BackendServer | undefined;
}

/** Records which of two attempts answered first. */
export function recordHedgeWinner(
  { hedges, ledger, logger }: ForwardContext,
  { requestId, service }: AcceptedRequest,
  { server, isHedge, overtaken }: HedgeWinner,
  elapsedMilliseconds: number,
): void {
  if (isHedge) hedges?.recordWin(service);
  // Otherwise a server whose late answers are never awaited would pass for a fast one.
  if (overtaken !== undefined) ledger.recordOvertaken(overtaken.instanceId, elapsedMilliseconds);
  logger.decision({
    kind: 'hedge',
    subject: requestId,
    choice: server.instanceId,
    reason: isHedge ? 'duplicate answered first' : 'late attempt answered first',
    facts: { milliseconds: Math.round(elapsedMilliseconds) },
  });
}
