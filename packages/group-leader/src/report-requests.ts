/**
 * Fresh reports of other ranks, asked for and answered by datagram. A leader reads all ranks
 * several times in a rollout; by HTTP that took it 60 ms each time with 63 ranks, most of it
 * its own processor time, and the old map stayed in force for as long.
 */
import type { RankReport } from '@lapisbridge/placement';

export interface ReportRequests {
  /** Undefined when no answer came in time. */
  requestReport(host: string): Promise<RankReport | undefined>;
  /** Takes the answer to a question. */
  onAnswer(questionId: number, report: RankReport): void;
}

/**
 * An answer takes two hops of some milliseconds and a read of the engine; a datagram that was
 * lost is not waited for much longer, since the rank can be asked by HTTP then.
 */
const ANSWER_TIMEOUT_MILLISECONDS = 60;

export interface ReportRequestsOptions {
  readonly ownHost: string;
  /** A fresh report of the rank beside this sidecar, which gets no datagrams of its own. */
  ownReport(): Promise<RankReport | undefined>;
  /** Puts a question to the sidecar at a host; false where none is known there. */
  send(host: string, questionId: number): boolean;
}

export function createReportRequests(options: ReportRequestsOptions): ReportRequests {
  const pending = new Map<number, (report: RankReport | undefined) => void>();
  let lastQuestionId = 0;
  return {
    requestReport(host) {
      if (host === options.ownHost) return options.ownReport();
      lastQuestionId += 1;
      const questionId = lastQuestionId;
      if (!options.send(host, questionId)) return Promise.resolve(undefined);
      return new Promise((resolve) => {
        const timer = setTimeout(() => {
          pending.delete(questionId);
          resolve(undefined);
        }, ANSWER_TIMEOUT_MILLISECONDS);
        pending.set(questionId, (report) => {
          clearTimeout(timer);
          pending.delete(questionId);
          resolve(report);
        });
      });
    },
    onAnswer(questionId, report) {
      pending.get(questionId)?.(report);
    },
  };
}
