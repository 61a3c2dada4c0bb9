/**
 * Brings a drawn fault about at a site from outside its processes, and takes it away again.
 */
import { EndlessBytes, StoreFault } from '@lapisbridge/users-platform';

import { LinkMode } from './link.js';
import { FaultKind } from './plan-faults.js';
import type { Fault } from './plan-faults.js';
import type { Program } from './program.js';
import type { Site, SiteServer } from './site.js';

/** Entries that are killed in series serve for a while in between. */
const SERIES_MILLISECONDS = 2000;
const BAD_SHARE = 0.4;
const LATE_SHARE = 0.4;
const RATE_LIMITS = [1, 0.4, 2.5];
const BACKOFF_SECONDS = [3, 2, 0.7];

const STORE_FAULTS: Readonly<Partial<Record<FaultKind, StoreFault>>> = {
  [FaultKind.StoreDown]: StoreFault.Down,
  [FaultKind.StoreSilent]: StoreFault.Silent,
  [FaultKind.StoreSlow]: StoreFault.Slow,
  [FaultKind.StoreLosesAnswers]: StoreFault.DropsWriteAnswers,
  [FaultKind.StoreForgetful]: StoreFault.HistoryDropped,
};

const LINK_MODES: Readonly<Partial<Record<FaultKind, LinkMode>>> = {
  [FaultKind.LinkDelayed]: LinkMode.Delayed,
  [FaultKind.LinkReset]: LinkMode.Resetting,
  [FaultKind.LinkSilent]: LinkMode.Silent,
  [FaultKind.LinkOneWay]: LinkMode.OneWay,
};

function pick<T>(items: readonly T[], target: number): T {
  const item = items[target % items.length];
  if (item === undefined) throw new Error('the site has nothing of the kind');
  return item;
}

/** Sends a signal that ends or holds up a process, which so may not know what it was told. */
function interrupt(site: Site, program: Program, signal: NodeJS.Signals): void {
  site.excuse(program.name);
  program.signal(signal);
}

function pause(site: Site, program: Program): () => void {
  interrupt(site, program, 'SIGSTOP');
  return () => interrupt(site, program, 'SIGCONT');
}

/** Until it is mended, an entry may not learn what the server answers. */
function cutLink(site: Site, { instanceId, link }: SiteServer, mode: LinkMode): () => void {
  const watches = [site.backoffWatch, site.departureWatch];
  link.setMode(mode);
  for (const watch of watches) watch.cut(instanceId);
  return () => {
    link.setMode(LinkMode.Passing);
    for (const watch of watches) watch.mend(instanceId);
  };
}

function nothing(): void {
  // Whoever was killed starts again by itself.
}

/** Returns what takes the fault away. */
export function injectFault(site: Site, fault: Fault): () => void {
  const { kind, target } = fault;
  const servers: readonly SiteServer[] = [...site.ranks, ...site.plainServers];
  switch (kind) {
    case FaultKind.KillEntry:
      interrupt(site, pick(site.entries, target), 'SIGKILL');
      return nothing;
    case FaultKind.KillEntries: {
      const killAll = (): void => {
        for (const entry of site.entries) interrupt(site, entry, 'SIGKILL');
      };
      killAll();
      const series = setInterval(killAll, SERIES_MILLISECONDS);
      return () => clearInterval(series);
    }
    case FaultKind.TerminateEntry:
      interrupt(site, pick(site.entries, target), 'SIGTERM');
      return nothing;
    case FaultKind.HangUpEntry:
      pick(site.entries, target).signal('SIGHUP');
      return nothing;
    case FaultKind.PauseEntry:
      return pause(site, pick(site.entries, target));
    case FaultKind.KillSidecar:
      pick(site.sidecars, target).signal('SIGKILL');
      return nothing;
    case FaultKind.PauseSidecar:
      return pause(site, pick(site.sidecars, target));
    case FaultKind.StoreDown:
    case FaultKind.StoreSilent:
    case FaultKind.StoreSlow:
    case FaultKind.StoreLosesAnswers:
    case FaultKind.StoreForgetful:
      site.store.fault = STORE_FAULTS[kind] ?? StoreFault.None;
      return () => {
        site.store.fault = StoreFault.None;
      };
    case FaultKind.CrashRank: {
      const rank = target % site.ranks.length;
      site.group.crash(rank);
      return () => site.group.restart(rank);
    }
    case FaultKind.BadAnswers: {
      const { runner } = pick(servers, target);
      runner.faultRatio = fault.share ?? BAD_SHARE;
      return () => {
        runner.faultRatio = 0;
      };
    }
    case FaultKind.LateOrders:
      site.group.delayedOrderRatio = LATE_SHARE;
      return () => {
        site.group.delayedOrderRatio = 0;
      };
    case FaultKind.LinkDelayed:
    case FaultKind.LinkReset:
    case FaultKind.LinkSilent:
    case FaultKind.LinkOneWay:
      return cutLink(site, pick(servers, target), LINK_MODES[kind] ?? LinkMode.Passing);
    case FaultKind.ChangeConfiguration:
      site.configure(['key', `other-${target}`]);
      return () => site.configure(['key']);
    case FaultKind.LimitRate: {
      const { runner } = pick(servers, target);
      runner.rateLimit = pick(RATE_LIMITS, target);
      return () => {
        runner.rateLimit = undefined;
      };
    }
    case FaultKind.AnnounceLeaving: {
      const server = pick(servers, target);
      server.runner.isLeaving = true;
      return () => {
        server.runner.isLeaving = false;
        server.startedAt += 1;
        site.departureWatch.onReplaced(server.instanceId);
      };
    }
    case FaultKind.ShedLoad: {
      const { runner } = pick(servers, target);
      runner.backoffSeconds = pick(BACKOFF_SECONDS, target);
      return () => {
        runner.backoffSeconds = undefined;
      };
    }
    case FaultKind.StopMachine: {
      const server = pick(site.ranks, target);
      const resumeSidecar = pause(site, pick(site.sidecars, target));
      server.isStopped = true;
      const resumeServer = cutLink(site, server, LinkMode.Held);
      return () => {
        server.isStopped = false;
        resumeServer();
        resumeSidecar();
      };
    }
    case FaultKind.EndServer:
      return site.endServer(pick(servers, target));
    case FaultKind.CloseDelimited: {
      const { runner } = pick(servers, target);
      runner.isCloseDelimited = true;
      return () => {
        runner.isCloseDelimited = false;
      };
    }
    case FaultKind.EndlessBytes: {
      const { runner } = pick(servers, target);
      runner.endlessBytes = pick(Object.values(EndlessBytes), target);
      return () => {
        runner.endlessBytes = undefined;
      };
    }
    case FaultKind.HandOver:
      return site.handOver(target);
    case FaultKind.CrashingPart:
      return site.beginCrashingPart(target);
    case FaultKind.CrashingRequest:
      return site.beginCrashingRequest(target);
    case FaultKind.DrainServer: {
      const server = pick(site.plainServers, target);
      server.isDraining = true;
      return () => {
        server.isDraining = false;
      };
    }
    default: {
      const unreachable: never = kind;
      throw new Error(String(unreachable));
    }
  }
}
