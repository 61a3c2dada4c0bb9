/**
 * Requests fresh reports of other ranks by datagram. A leader reads all ranks several times in a
 * rollout; by HTTP each round took 60 ms with 63 ranks, mostly the leader's own processor time, and
 * the old map stayed active for that much longer.
 */
import type { RankReport } from '@lapisbridge/placement';

export interface ReportRequests {
  /** Resolves with undefined when no answer arrived in time. */
  requestReport(host: string): Promise<RankReport | undefined>;
  /** Resolves the request with this identifier; late and unknown answers are ignored. */
  onAnswer(questionId: number, report: RankReport): void;
}

/**
 * An answer takes two network hops of a few milliseconds and a read from the engine. The timeout is
 * only little longer than that, since a rank whose datagram was lost can be asked by HTTP.
 */
const ANSWER_TIMEOUT_MILLISECONDS = 60;

export interface ReportRequestsOptions {
  readonly ownHost: string;
  /** A fresh report of the rank beside this sidecar, which does not send datagrams to itself. */
  ownReport(): Promise<RankReport | undefined>;
  /** Sends a request to the sidecar at a host; false when none is known there. */
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
