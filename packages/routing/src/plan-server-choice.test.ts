import { describe, expect, it } from 'vitest';

import { planServerChoice, ServerChoiceKind } from './plan-server-choice.js';
import type { ServerView } from './plan-server-choice.js';

function view(instanceId: string, fields: Partial<ServerView> = {}): ServerView {
  return {
    instanceId,
    availabilityZone: 'zone',
    slots: 8,
    outstanding: 0,
    expectedOutstanding: 0,
    pendingPrefillTokens: 0,
    typicalResponseMilliseconds: 100,
    reportAgeMilliseconds: undefined,
    decayedFailures: 0,
    limitedForMilliseconds: 0,
    backoffMilliseconds: 0,
    brokenForMilliseconds: undefined,
    isSilent: false,
    ...fields,
  };
}

function choose(views: readonly ServerView[], excluded: readonly string[] = []) {
  const choice = planServerChoice({
    views,
    ownZone: 'zone',
    excluded: new Set(excluded),
    prefillTokensPerMillisecond: 75,
    unreportedArrivals: 0,
    random: () => 0,
  });
  return choice.kind === ServerChoiceKind.Chosen ? choice.view.instanceId : choice.kind;
}

describe('choosing a server that is called directly', () => {
  it('prefers capacity to its own zone, and its own zone when loads are equal', () => {
    expect(choose([view('far', { availabilityZone: 'other' }), view('near')])).toBe('near');
    const full = view('near', { outstanding: 16 });
    expect(choose([view('far', { availabilityZone: 'other' }), full])).toBe('far');
  });

  it('counts prompts that await prefill', () => {
    expect(choose([view('reading', { pendingPrefillTokens: 2000 }), view('free')])).toBe('free');
  });

  it('uses a failing server only when no other is left', () => {
    // A server with a gray failure answers fast with errors, so that its low load alone would
    // attract every request.
    const grey = view('grey', { decayedFailures: 2, typicalResponseMilliseconds: 20 });
    expect(choose([grey, view('sound', { outstanding: 4 })])).toBe('sound');
    expect(choose([grey, view('sound')], ['sound'])).toBe('grey');
  });

  it('skips a silent server even when all others are full', () => {
    // Guards against choosing a server that has stopped because it looks idle.
    const silent = view('silent', { isSilent: true });
    expect(choose([silent, view('busy', { outstanding: 12 })])).toBe('busy');
    expect(choose([silent, view('busy')], ['busy'])).toBe(ServerChoiceKind.AllCrowded);
  });

  it('skips servers that back off, and returns the shortest backoff when no other is left', () => {
    // Guards against choosing a server that has asked for a backoff because it looks idle.
    const short = view('short', { backoffMilliseconds: 700 });
    const long = view('long', { backoffMilliseconds: 3000 });
    expect(choose([short, view('busy', { outstanding: 12 })])).toBe('busy');
    expect(choose([short, view('cold', { limitedForMilliseconds: 200 })])).toBe(
      ServerChoiceKind.AllLimited,
    );
    // A server that this entry may not send to at all counts as limited, even if it also backs off.
    const foreign = view('foreign', { backoffMilliseconds: 700, limitedForMilliseconds: Infinity });
    expect(choose([foreign])).toBe(ServerChoiceKind.AllLimited);
    const choice = planServerChoice({
      views: [short, long, view('cold', { limitedForMilliseconds: 900 })],
      ownZone: 'zone',
      excluded: new Set(),
      prefillTokensPerMillisecond: 75,
      unreportedArrivals: 0,
      random: () => 0,
    });
    expect(choice).toEqual({ kind: ServerChoiceKind.AllBackingOff, backoffMilliseconds: 700 });
  });

  it('skips servers of broken groups, and says so when no other is left', () => {
    // A request sent to a broken group hangs or is refused, while another group of the same service
    // could have answered it.
    const broken = view('broken', { brokenForMilliseconds: 5 });
    expect(choose([broken, view('open', { outstanding: 8 })])).toBe('open');
    expect(choose([broken])).toBe(ServerChoiceKind.AllBroken);
    expect(choose([broken, view('cold', { limitedForMilliseconds: 200 })])).toBe(
      ServerChoiceKind.AllLimited,
    );
  });

  it('distinguishes limited servers from no servers', () => {
    expect(choose([view('cold', { limitedForMilliseconds: 200 })])).toBe(
      ServerChoiceKind.AllLimited,
    );
    expect(choose([])).toBe(ServerChoiceKind.NoneLeft);
  });
});
