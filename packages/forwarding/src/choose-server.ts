/**
 * Picks the backend server for the next attempt and writes down why.
 */
import type { BackendServer } from '@lapisbridge/catalog';
import { planServer, ServerChoiceKind } from '@lapisbridge/routing';
import type { ServerChoice, ServerView } from '@lapisbridge/routing';

import { remainingOf } from './forward-context.js';
import type { AcceptedRequest, ForwardContext, Progress } from './forward-context.js';
import { roundedOrNone } from './rounded-or-none.js';

/** Reading speed of services without a model, which have no prompts. */
const NO_PROMPTS = 1;

function viewsOf(
  context: ForwardContext,
  accepted: AcceptedRequest,
): { views: ServerView[]; byId: ReadonlyMap<string, BackendServer>; leaving: number } {
  const { coldShare } = context;
  const profile = accepted.configuration.services.get(accepted.service);
  const { drainedZones } = context.catalog.operatorState();
  const byId = context.catalog.servers().servers;
  const views: ServerView[] = [];
  const coldRate = profile?.coldRequestsPerSecond ?? 0;
  const senders = coldShare.senders(coldRate);
  let leaving = 0;
  for (const server of byId.values()) {
    if (server.service !== accepted.service || server.draining) continue;
    if (drainedZones.has(server.availabilityZone)) continue;
    const admission = context.statements.admission(server, senders);
    if (admission.isLeaving) {
      leaving += 1;
      continue;
    }
    const coldRoom = coldShare.roomIn(server.instanceId, coldRate);
    views.push(
      context.ledger.view(
        server,
        {
          roomInMilliseconds: Math.max(coldRoom, admission.roomInMilliseconds),
          backoffMilliseconds: admission.backoffMilliseconds,
          brokenForMilliseconds: context.groupHealth.brokenFor(server),
          isSilent: context.liveness.isSilent(server),
        },
        context.entries(),
      ),
    );
  }
  return { views, byId, leaving };
}

/** What the other entries may have sent since the servers reported. */
function guessUnseen(
  context: ForwardContext,
  service: string,
  views: readonly ServerView[],
): number {
  let age = 0;
  let reports = 0;
  for (const { reportAge } of views) {
    if (reportAge === undefined) continue;
    age += reportAge;
    reports += 1;
  }
  if (reports === 0) return 0;
  const others = context.arrivals.perSecond(service) * (context.entries() - 1);
  return (others * (age / reports)) / 1000;
}

export interface ChosenServer {
  readonly choice: ServerChoice;
  readonly server: BackendServer | undefined;
}

export function chooseServer(
  context: ForwardContext,
  accepted: AcceptedRequest,
  progress: Progress,
  fits: (view: ServerView) => boolean = () => true,
): ChosenServer {
  const { views, byId, leaving } = viewsOf(context, accepted);
  const engine = accepted.configuration.services.get(accepted.service)?.engine;
  const choice = planServer({
    views,
    ownZone: context.ownZone,
    excluded: progress.tried,
    readTokensPerMillisecond:
      engine === undefined ? NO_PROMPTS : engine.prefillTokensPerSecond / 1000,
    unseenArrivals: guessUnseen(context, accepted.service, views),
    fits,
    random: context.random,
  });
  const chosen = choice.kind === ServerChoiceKind.Chosen;
  const silence = chosen ? context.liveness.silenceMilliseconds(choice.view.instanceId) : undefined;
  context.logger.decision({
    kind: 'routing',
    subject: accepted.requestId,
    choice: chosen ? choice.view.instanceId : choice.kind,
    reason: `attempt ${progress.sends + 1} of ${accepted.route.name}`,
    facts: {
      configurationVersion: accepted.configuration.version,
      serversRevision: context.catalog.servers().revision,
      candidates: views.length,
      leaving: leaving > 0 ? leaving : undefined,
      cost: chosen ? Math.round(choice.cost) : undefined,
      outstanding: chosen ? choice.view.outstanding : undefined,
      slots: chosen ? choice.view.slots : undefined,
      remaining: chosen ? remainingOf(context, accepted) : undefined,
      reportAge: chosen ? roundedOrNone(choice.view.reportAge) : undefined,
      silence: roundedOrNone(silence),
      suspicion: chosen ? Number(choice.view.suspicion.toFixed(2)) : undefined,
      rateLimit: chosen ? context.statements.rateLimitOf(choice.view.instanceId) : undefined,
      backoff:
        choice.kind === ServerChoiceKind.AllBackingOff
          ? Math.round(choice.backoffMilliseconds)
          : undefined,
    },
  });
  return { choice, server: chosen ? byId.get(choice.view.instanceId) : undefined };
}
