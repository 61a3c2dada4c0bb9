/**
 * Fresh reports of other ranks, asked for and answered by datagram. A leader reads all ranks
 * several times in a rollout; by HTTP that took it 60 ms each time with 63 ranks, most of it
 * its own processor time, and the old map stayed in force for as long.
 */
import type { RankReport } from '@lapisbridge/placement';

export interface ReportQuestions {
  /** Undefined when no answer came in time. */
  ask(host: string): Promise<RankReport | undefined>;
  /** Takes the answer to a question. */
  answered(question: number, report: RankReport): void;
}

/**
 * An answer takes two hops of some milliseconds and a read of the engine; a datagram that was
 * lost is not waited for much longer, since the rank can be asked by HTTP then.
 */
const ANSWER_MILLISECONDS = 60;

export interface ReportQuestionsOptions {
  readonly ownHost: string;
  /** A fresh report of the rank beside this sidecar, which gets no datagrams of its own. */
  ownReport(): Promise<RankReport | undefined>;
  /** Puts a question to the sidecar at a host; false where none is known there. */
  send(host: string, question: number): boolean;
}

export function createReportQuestions(options: ReportQuestionsOptions): ReportQuestions {
  const waiting = new Map<number, (report: RankReport | undefined) => void>();
  let last = 0;
  return {
    ask(host) {
      if (host === options.ownHost) return options.ownReport();
      last += 1;
      const question = last;
      if (!options.send(host, question)) return Promise.resolve(undefined);
      return new Promise((resolve) => {
        const timer = setTimeout(() => {
          waiting.delete(question);
          resolve(undefined);
        }, ANSWER_MILLISECONDS);
        waiting.set(question, (report) => {
          clearTimeout(timer);
          waiting.delete(question);
          resolve(report);
        });
      });
    },
    answered(question, report) {
      waiting.get(question)?.(report);
    },
  };
}
