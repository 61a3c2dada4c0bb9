/**
 * A steady load of drafts through several entries, until it is stopped.
 */
import { setTimeout as sleep } from 'node:timers/promises';

import type { RecordedDraft, Recorder } from './recorder.js';

export interface DraftLoad {
  readonly done: readonly RecordedDraft[];
  /** Lets the drafts in progress finish and returns all. */
  stop(): Promise<readonly RecordedDraft[]>;
}

export interface DraftLoadOptions {
  readonly concurrency: number;
  /** Entries to send through; callers of a real site are spread by the platform's balancer. */
  entries(): readonly number[];
  readonly maximumTokens: number;
  readonly timeoutMilliseconds?: number;
  /** Accounts in turn; the first of the document when left out. */
  readonly accounts?: readonly string[];
}

const REFUSED_PAUSE_MILLISECONDS = 100;

export function startDraftLoad(recorder: Recorder, options: DraftLoadOptions): DraftLoad {
  const done: RecordedDraft[] = [];
  let stopped = false;
  let next = 0;

  async function loop(): Promise<void> {
    while (!stopped) {
      const entries = options.entries();
      next += 1;
      const entry = entries[next % entries.length] ?? 0;
      const account = options.accounts?.[next % options.accounts.length];
      const draft = await recorder.draft({
        entry,
        maximumTokens: options.maximumTokens,
        ...(account === undefined ? {} : { account }),
        ...(options.timeoutMilliseconds === undefined
          ? {}
          : { timeoutMilliseconds: options.timeoutMilliseconds }),
      });
      done.push(draft);
      if (!draft.complete) await sleep(REFUSED_PAUSE_MILLISECONDS);
    }
  }

  const loops = Array.from({ length: options.concurrency }, loop);
  return {
    done,
    async stop() {
      stopped = true;
      await Promise.all(loops);
      return done;
    },
  };
}
