/**
 * Discrete-time simulation of many entries that send streams to the servers of one lock-step group,
 * for tests of decisions. Unlike `simulateOutage`, which knows one pool of slots, each server has
 * its own queue, and each entry decides by load reports that are some hundred milliseconds old. The
 * duration of a pass grows with the streams in it and with a factor that changes over time, as when
 * a rank is slow. Callers wait for two seconds without an event, retry once, and wait as told up to
 * a third of the time they have left.
 */
import { createCatalog } from '@lapisbridge/catalog';
import type { Route } from '@lapisbridge/catalog';
import { createRandom } from '@lapisbridge/kernel';
import type { Random } from '@lapisbridge/kernel';
import {
  createGroupConcurrency,
  planAdmittedShare,
  planClassReturn,
  planPassHold,
} from '@lapisbridge/load-shedding';
import type { GroupConcurrency } from '@lapisbridge/load-shedding';
import { createSilentLogger } from '@lapisbridge/logger';
import { planGroupedServerChoice, ServerChoiceKind } from '@lapisbridge/routing';

import { createArrivalMeter } from './arrival-meter.js';
import { serverWith } from './backend-server-fixture.js';
import { createColdStartShare } from './cold-start-share.js';
import type { ColdStartShare } from './cold-start-share.js';
import { createGroupHealth } from './group-health.js';
import { createGroupLoads } from './group-loads.js';
import type { GroupLoads } from './group-loads.js';
import { createGroupPassMeter, findRecentPass } from './group-pass-meter.js';
import type { EventGapWatch, GroupPassMeter } from './group-pass-meter.js';
import { canAdmitStream, planRecheckDelay } from './plan-queue-admission.js';
import { planPriority, urgencyOf } from './plan-priority.js';
import { planRetryAfter, RefusalCause } from './plan-retry-after.js';
import { callerPatienceMilliseconds, planRoomWait } from './plan-wait.js';
import { createServerLoadTracker, Verdict } from './server-load-tracker.js';
import type { ServerLoadTracker } from './server-load-tracker.js';
import { STREAM_ROUTE } from './stream-route-fixture.js';
import { othersPerRequest } from './traffic-share.js';

export interface GroupLoadScenario {
  readonly seed: number;
  readonly entries: number;
  readonly servers: number;
  readonly slots: number;
  readonly callersPerSecond: number;
  readonly coldRequestsPerSecond: number;
  /** Duration of a pass without streams, and what each stream of an average server adds. */
  readonly passMilliseconds: number;
  readonly passMillisecondsPerStream: number;
  /** Lock-step groups that the servers are divided into; one if absent. */
  readonly groups?: number;
  /** Whether entries choose a group first; else they see only its servers. */
  readonly choosesGroups?: boolean;
  /** Time from a report of a server to its arrival at the entries. */
  readonly reportDelayMilliseconds?: number;
  /** Logarithmic spread of the numbers of events, their mean and the largest. */
  readonly lengths?: Lengths;
  /**
   * Factor by which a group's passes are longer at a time of the simulation; `Infinity` for a group
   * that stops for good.
   */
  slowdownAt(now: number, group: number): number;
  /** Whether a group can run nothing, which the next reports of its ranks say. */
  isStoppedAt?(now: number, group: number): boolean;
  /** Factor by which each stream adds more, as after a shift of the demand for experts. */
  skewFactorAt?(now: number): number;
  /** Callers that have been refused before and come back at once, as after an outage. */
  readonly backlog?: { readonly at: number; readonly callers: number };
  readonly endMilliseconds: number;
  /** Priority classes of callers; one class of `STREAM_ROUTE` if absent. */
  readonly classes?: readonly CallerClass[];
  /** Whether entries limit the streams of the group by its passes. */
  readonly limitsStreams?: boolean;
  /** Only callers that first ask from this time on are counted; all if absent. */
  readonly countedFromMilliseconds?: number;
}

export interface CallerClass {
  readonly route: Route;
  /** Callers of the class per second, as a multiple of `callersPerSecond`. */
  weightAt(now: number): number;
}

export interface Lengths {
  readonly spread: number;
  readonly meanEvents: number;
  readonly maximumEvents: number;
}

/** What a caller got. */
enum Outcome {
  InTime = 'inTime',
  Late = 'late',
  Lost = 'lost',
}

/** Numbers of callers by what they got. */
export interface CallerCounts {
  asked: number;
  inTime: number;
  late: number;
  /** Refused twice, left without an answer, or cut off by the deadline. */
  lost: number;
}

/** With the numbers of refusals, and of decisions in which every server was limited. */
export interface GroupLoadResult extends CallerCounts {
  refusals: number;
  limited: number;
  /** In the order of the scenario's classes. */
  readonly classes: readonly CallerCounts[];
}

export interface DetailedGroupLoadResult extends GroupLoadResult {
  /** The same for the tenth of callers with the longest answers. */
  readonly longestTenth: { readonly asked: number; readonly inTime: number };
  /** When streams were sent to which group. */
  readonly sends: readonly { readonly at: number; readonly group: number }[];
}

interface Caller {
  readonly firstAt: number;
  readonly events: number;
  readonly callerClass: CallerClass;
  readonly classIndex: number;
  readonly admissionDraw: number;
  readonly entry: Entry;
  attemptAt: number;
  isRetry: boolean;
  nextAt: number;
  server: Server | undefined;
  priority: number;
  sentAt: number;
  /** Passes until the next event; prefill takes one more than later events. */
  passesLeft: number;
  eventsSent: number;
  lastEventAt: number;
  passes: EventGapWatch | undefined;
  isLate: boolean;
  isOver: boolean;
}

interface ContentionDelay {
  /** 0 for a refusal. */
  readonly waitMilliseconds: number;
  readonly returnMilliseconds: number;
}

interface Server {
  readonly name: string;
  readonly group: number;
  running: Caller[];
  waiting: Caller[];
  reportAt: number;
}

interface Entry {
  readonly ledger: ServerLoadTracker;
  readonly coldShare: ColdStartShare;
  readonly arrivals: ReturnType<typeof createArrivalMeter>;
  readonly concurrency: GroupConcurrency;
  readonly loads: GroupLoads;
  readonly groupPasses: GroupPassMeter;
}

const SERVICE = 'service';
const FIRST_GROUP = '0';
const DEFAULT_CLASSES: readonly CallerClass[] = [{ route: STREAM_ROUTE, weightAt: () => 1 }];
const STEP_MILLISECONDS = 5;
const REPORT_INTERVAL_MILLISECONDS = 300;
const DEFAULT_REPORT_DELAY_MILLISECONDS = 150;
const NETWORK_MILLISECONDS = 12;
const DEFAULT_LENGTHS: Lengths = { spread: 0.8, meanEvents: 22.7, maximumEvents: 57 };
const PASSES_TO_FIRST_EVENT = 2;
const MAXIMUM_RETRY_AFTER_SHARE = 1 / 3;
const { timeoutMilliseconds: DEADLINE_MILLISECONDS } = STREAM_ROUTE;
const GAP_TOLERANCE_MILLISECONDS = 1;
const BACKLOG_AGE_MILLISECONDS = 3000;

function drawEvents(random: Random, { spread, meanEvents, maximumEvents }: Lengths): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random()) * spread;
  const events = meanEvents * Math.exp(normal - spread ** 2 / 2);
  return Math.max(1, Math.min(maximumEvents, Math.round(events)));
}

export function simulateGroupLoad(scenario: GroupLoadScenario): DetailedGroupLoadResult {
  const { slots, callersPerSecond, endMilliseconds, coldRequestsPerSecond } = scenario;
  const countedFrom = scenario.countedFromMilliseconds ?? -Infinity;
  const random = createRandom(scenario.seed);
  // Of its own, so that the same callers arrive with and without a limit.
  const drawAdmission = createRandom(scenario.seed + 1);
  const callerClasses = scenario.classes ?? DEFAULT_CLASSES;
  const classes: CallerCounts[] = callerClasses.map(() => ({
    asked: 0,
    inTime: 0,
    late: 0,
    lost: 0,
  }));
  const result = { asked: 0, inTime: 0, late: 0, lost: 0, refusals: 0, limited: 0, classes };
  const priorities = [...new Set(callerClasses.map(({ route }) => route.priority))].sort(
    (left, right) => left - right,
  );
  const lengths = scenario.lengths ?? DEFAULT_LENGTHS;
  const groupCount = scenario.groups ?? 1;
  const reportDelay = scenario.reportDelayMilliseconds ?? DEFAULT_REPORT_DELAY_MILLISECONDS;
  const counted: { events: number; outcome: Outcome }[] = [];
  const sends: { at: number; group: number }[] = [];
  let now = 0;
  const clock = (): number => now;
  const servers: Server[] = Array.from({ length: scenario.servers }, (_, index) => ({
    name: `server-${index}`,
    group: index % groupCount,
    running: [],
    waiting: [],
    reportAt: random() * REPORT_INTERVAL_MILLISECONDS,
  }));
  const records = new Map(
    servers.map(({ name }, rank) => [
      name,
      serverWith({
        instanceId: name,
        slots,
        service: SERVICE,
        groupRank: { group: String(servers[rank]?.group ?? 0), epoch: 1, rank, open: true },
      }),
    ]),
  );
  const groupsByServer = new Map(
    scenario.choosesGroups === true ? servers.map(({ name, group }) => [name, String(group)]) : [],
  );
  const names = Array.from({ length: scenario.entries }, (_, index) => `entry-${index}`);
  const catalog = createCatalog();
  catalog.replaceServers({ revision: 1, servers: records });
  const groupHealth = createGroupHealth(clock, createSilentLogger());

  function createEntry(own: string): Entry {
    const ledger = createServerLoadTracker(clock);
    const loads = createGroupLoads({
      catalog,
      ledger,
      groupHealth,
      entries: () => names.length,
      now: clock,
    });
    return {
      ledger,
      loads,
      concurrency: createGroupConcurrency({
        now: clock,
        streamsIn: (group) => loads.find(group)?.streams,
      }),
      coldShare: createColdStartShare(
        () => ({ own, names, count: names.length, isComplete: true }),
        clock,
      ),
      arrivals: createArrivalMeter(clock),
      groupPasses: createGroupPassMeter(clock),
    };
  }

  const entries: Entry[] = names.map(createEntry);
  // The balancer in front hashes callers, so that entries get between a half and one and a half of
  // the mean.
  const weights = entries.map(() => 0.5 + random());
  const totalWeight = weights.reduce((sum, weight) => sum + weight, 0);
  const delayedReports: { at: number; server: string; running: number; waiting: number }[] = [];
  let callers: Caller[] = [];
  const passEndsAt = Array.from({ length: groupCount }, () => 0);
  let nextArrival = 0;

  function drawEntry(): Entry {
    let drawn = random() * totalWeight;
    for (const [index, entry] of entries.entries()) {
      drawn -= weights[index] ?? 0;
      if (drawn <= 0) return entry;
    }
    return entries[0];
  }

  function totalWeightAt(at: number): number {
    return callerClasses.reduce((sum, callerClass) => sum + callerClass.weightAt(at), 0);
  }

  function drawClass(): number {
    if (callerClasses.length === 1) return 0;
    let drawn = random() * totalWeightAt(now);
    for (const [index, callerClass] of callerClasses.entries()) {
      drawn -= callerClass.weightAt(now);
      if (drawn <= 0) return index;
    }
    return 0;
  }

  function countCaller(
    caller: Pick<Caller, 'firstAt' | 'classIndex'>,
    name: keyof CallerCounts,
  ): void {
    if (caller.firstAt < countedFrom) return;
    result[name] += 1;
    const counts = classes[caller.classIndex];
    if (counts !== undefined) counts[name] += 1;
  }

  function createCaller(firstAt: number, isRetry: boolean): Caller {
    const classIndex = drawClass();
    countCaller({ firstAt, classIndex }, 'asked');
    return {
      firstAt,
      classIndex,
      callerClass: callerClasses[classIndex] ?? DEFAULT_CLASSES[0],
      admissionDraw: drawAdmission(),
      events: drawEvents(random, lengths),
      entry: drawEntry(),
      attemptAt: now,
      isRetry,
      nextAt: now,
      server: undefined,
      priority: 0,
      sentAt: 0,
      passesLeft: 0,
      eventsSent: 0,
      lastEventAt: now,
      passes: undefined,
      isLate: isRetry,
      isOver: false,
    };
  }

  function end(caller: Caller, outcome: Outcome): void {
    caller.isOver = true;
    if (caller.firstAt < countedFrom) return;
    countCaller(caller, outcome);
    counted.push({ events: caller.events, outcome });
  }

  function leaveServer(caller: Caller): void {
    const { server, entry } = caller;
    if (server === undefined) return;
    server.running = server.running.filter((other) => other !== caller);
    server.waiting = server.waiting.filter((other) => other !== caller);
    entry.ledger.recordEnd(server.name, Verdict.Inconclusive, 0, caller.eventsSent > 0);
    caller.server = undefined;
    caller.passes?.onEnd();
  }

  /** Stopped as the entries know it, by reports of its ranks. */
  function isKnownStopped(group: number): boolean {
    return scenario.isStoppedAt?.(now - reportDelay, group) ?? false;
  }

  function comeBack(caller: Caller, at: number): void {
    leaveServer(caller);
    if (caller.isRetry) {
      end(caller, Outcome.Lost);
      return;
    }
    Object.assign(caller, {
      isRetry: true,
      isLate: true,
      attemptAt: at,
      nextAt: at,
      entry: drawEntry(),
    });
  }

  function refuse(caller: Caller, cause: RefusalCause, likelyMilliseconds?: number): void {
    result.refusals += 1;
    const remainingMilliseconds = caller.firstAt + DEADLINE_MILLISECONDS - now;
    const retryAfter = planRetryAfter({
      cause,
      remainingMilliseconds,
      random: random(),
      likelyMilliseconds,
    });
    comeBack(caller, now + Math.min(retryAfter, remainingMilliseconds * MAXIMUM_RETRY_AFTER_SHARE));
  }

  /** Returns why the caller's stream is not sent for now; undefined if it may be. */
  function findContention({ entry, ...caller }: Caller): ContentionDelay | undefined {
    if (scenario.limitsStreams !== true) return undefined;
    const { route } = caller.callerClass;
    const load = entry.loads.find(FIRST_GROUP);
    const limit = entry.concurrency.maximumStreams({
      group: FIRST_GROUP,
      slots: slots * servers.length,
      basePassMilliseconds: scenario.passMilliseconds,
      gapObjectiveMilliseconds: route.eventGapObjectiveMilliseconds,
    });
    const priorityClass = {
      index: priorities.indexOf(route.priority),
      count: priorities.length,
    };
    const utilization = (load?.streams ?? 0) / (limit ?? Infinity);
    const share = planAdmittedShare({ priorityClass, utilization, isRetry: caller.isRetry });
    if (caller.admissionDraw >= share) {
      return { waitMilliseconds: 0, returnMilliseconds: planClassReturn(priorityClass) };
    }
    const waitMilliseconds = planPassHold({
      passMilliseconds: findRecentPass(entry.groupPasses, FIRST_GROUP) ?? 0,
      gapObjectiveMilliseconds: route.eventGapObjectiveMilliseconds,
      latencyObjectiveMilliseconds: route.latencyObjectiveMilliseconds,
      patienceMilliseconds: callerPatienceMilliseconds(route),
      isRetry: caller.isRetry,
      idleMilliseconds: now - caller.attemptAt,
    });
    return waitMilliseconds === 0 ? undefined : { waitMilliseconds, returnMilliseconds: 0 };
  }

  function decide(caller: Caller): void {
    const contention = findContention(caller);
    if (contention !== undefined) {
      const { waitMilliseconds, returnMilliseconds } = contention;
      if (waitMilliseconds === 0) refuse(caller, RefusalCause.Contended, returnMilliseconds);
      else Object.assign(caller, { nextAt: now + waitMilliseconds });
      return;
    }
    const { entry } = caller;
    const { route } = caller.callerClass;
    const share = 1 / entries.length;
    const remainingMilliseconds = caller.firstAt + DEADLINE_MILLISECONDS - now;
    const situation = {
      route,
      isRetry: caller.isRetry,
      idleMilliseconds: now - caller.attemptAt,
      remainingMilliseconds,
      hasBegun: false,
      isMoved: false,
    };
    const others = othersPerRequest(share);
    const views = servers.map(({ name, group }) =>
      entry.ledger.view(
        records.get(name) ?? serverWith({}),
        {
          limitedForMilliseconds: entry.coldShare.roomInMilliseconds(
            name,
            coldRequestsPerSecond,
            share,
          ),
          backoffMilliseconds: 0,
          brokenForMilliseconds: isKnownStopped(group) ? 0 : undefined,
          isSilent: false,
        },
        others,
      ),
    );
    const choice = planGroupedServerChoice({
      groupsByServer,
      gapObjectiveMilliseconds: STREAM_ROUTE.eventGapObjectiveMilliseconds,
      describeGroup: (group) => ({
        passMilliseconds: entry.groupPasses.passMilliseconds(group),
        passAgeMilliseconds: entry.groupPasses.passAgeMilliseconds(group),
        isSilent: false,
        maximumStreams: undefined,
      }),
      views,
      ownZone: 'zone',
      excluded: new Set(),
      prefillTokensPerMillisecond: 74,
      unreportedArrivals:
        (entry.arrivals.arrivalsPerSecond(SERVICE) *
          others *
          (reportDelay + REPORT_INTERVAL_MILLISECONDS / 2)) /
        1000,
      canServeInTime: (view) =>
        canAdmitStream({
          ...situation,
          slots,
          expectedStreams: view.expectedOutstanding,
          typicalMilliseconds: view.typicalResponseMilliseconds,
          reportAge: view.reportAgeMilliseconds,
        }),
      random,
    });
    switch (choice.kind) {
      case ServerChoiceKind.Chosen: {
        const server = servers.find(({ name }) => name === choice.view.instanceId);
        if (server === undefined) throw new Error('an unknown server was chosen');
        entry.ledger.recordSent(server.name, 0);
        entry.coldShare.recordSent(server.name);
        sends.push({ at: now, group: server.group });
        caller.server = server;
        caller.passes = entry.groupPasses.watch(String(server.group));
        caller.sentAt = now;
        caller.priority = planPriority(route.priority, urgencyOf(situation));
        caller.passesLeft = PASSES_TO_FIRST_EVENT;
        server.waiting.push(caller);
        return;
      }
      case ServerChoiceKind.AllLimited: {
        result.limited += 1;
        const wait = planRoomWait({
          ...situation,
          roomInMilliseconds: choice.limitedForMilliseconds,
        });
        if (wait === 0) refuse(caller, RefusalCause.Full);
        else caller.nextAt = now + wait;
        return;
      }
      default: {
        const wait = planRecheckDelay(situation);
        if (wait === 0) refuse(caller, RefusalCause.Crowded);
        else caller.nextAt = now + wait;
      }
    }
  }

  function deliver(caller: Caller): void {
    const { entry } = caller;
    const { route } = caller.callerClass;
    const gap = now - caller.lastEventAt;
    if (caller.eventsSent === 0) {
      const waited = now + NETWORK_MILLISECONDS - caller.firstAt;
      if (waited > route.latencyObjectiveMilliseconds) caller.isLate = true;
      entry.ledger.recordAnswer(caller.server?.name ?? '', now - caller.sentAt, 0);
    } else {
      entry.concurrency.recordEventGap(String(caller.server?.group ?? 0), gap);
      if (gap > route.eventGapObjectiveMilliseconds + GAP_TOLERANCE_MILLISECONDS)
        caller.isLate = true;
    }
    caller.eventsSent += 1;
    caller.passes?.onEvent();
    caller.lastEventAt = now;
    if (caller.eventsSent < caller.events) return;
    leaveServer(caller);
    end(caller, caller.isLate ? Outcome.Late : Outcome.InTime);
  }

  function runPass(group: number): void {
    let running = 0;
    let ranks = 0;
    for (const server of servers) {
      if (server.group !== group) continue;
      ranks += 1;
      for (const caller of [...server.running]) {
        caller.passesLeft -= 1;
        if (caller.passesLeft > 0) continue;
        caller.passesLeft = 1;
        deliver(caller);
      }
      server.waiting.sort((left, right) => left.priority - right.priority);
      while (server.running.length < slots) {
        const next = server.waiting.shift();
        if (next === undefined) break;
        server.running.push(next);
      }
      running += server.running.length;
    }
    const perStream =
      scenario.passMillisecondsPerStream * (scenario.skewFactorAt?.(now) ?? 1) * (running / ranks);
    passEndsAt[group] =
      now + (scenario.passMilliseconds + perStream) * scenario.slowdownAt(now, group);
  }

  function report(): void {
    for (const server of servers) {
      if (now < server.reportAt) continue;
      server.reportAt += REPORT_INTERVAL_MILLISECONDS;
      delayedReports.push({
        at: now,
        server: server.name,
        running: server.running.length,
        waiting: server.waiting.length,
      });
    }
    while ((delayedReports[0]?.at ?? Infinity) <= now - reportDelay) {
      const next = delayedReports.shift();
      if (next === undefined) break;
      for (const { ledger } of entries) {
        ledger.recordReport(next.server, next, reportDelay);
      }
    }
  }

  function expire(caller: Caller): void {
    if (now - caller.firstAt >= DEADLINE_MILLISECONDS) {
      leaveServer(caller);
      end(caller, Outcome.Lost);
      return;
    }
    if (now < caller.attemptAt) return;
    const since = caller.eventsSent > 0 ? caller.lastEventAt : caller.attemptAt;
    if (now - since >= callerPatienceMilliseconds(caller.callerClass.route)) comeBack(caller, now);
  }

  for (; now < endMilliseconds; now += STEP_MILLISECONDS) {
    if (scenario.backlog !== undefined && now === scenario.backlog.at) {
      for (let count = 0; count < scenario.backlog.callers; count += 1) {
        callers.push(createCaller(now - BACKLOG_AGE_MILLISECONDS, true));
      }
    }
    while (nextArrival <= now && now < endMilliseconds - DEADLINE_MILLISECONDS) {
      callers.push(createCaller(now, false));
      callers.at(-1)?.entry.arrivals.recordArrival(SERVICE);
      nextArrival += (-Math.log(1 - random()) * 1000) / (callersPerSecond * totalWeightAt(now));
    }
    report();
    for (const caller of callers) {
      if (caller.isOver || caller.server !== undefined || caller.nextAt > now) continue;
      decide(caller);
    }
    for (const [group, endsAt] of passEndsAt.entries()) {
      if (scenario.isStoppedAt?.(now, group) === true) continue;
      if (now >= endsAt) runPass(group);
    }
    for (const caller of callers) if (!caller.isOver) expire(caller);
    callers = callers.filter(({ isOver }) => !isOver);
  }
  const longest = counted
    .sort((left, right) => right.events - left.events)
    .slice(0, Math.ceil(counted.length / 10));
  const longestTenth = {
    asked: longest.length,
    inTime: longest.filter(({ outcome }) => outcome === Outcome.InTime).length,
  };
  return { ...result, longestTenth, sends };
}
