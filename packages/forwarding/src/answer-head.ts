/**
 * What the head of a backend server's answer says: whether it can be believed, and whether it
 * proves that the request did not run.
 */
import type { AnswerHead } from './caller-protocol.js';

const SUCCESS_FROM = 200;
const SUCCESS_TO = 300;

export function isSuccess(status: number): boolean {
  return status >= SUCCESS_FROM && status < SUCCESS_TO;
}

/** Reasons for which the head of an answer is not believed; undefined when it is sound. */
export function doubtHead(head: AnswerHead, requestId: string): string | undefined {
  if (head.requestId !== requestId) return 'answer to another request';
  if (isSuccess(head.status) && !head.isSigned) return 'success without a signature';
  return undefined;
}

export function describeRefusal(head: AnswerHead): string {
  if (head.isMisdirected) return 'another server has the address';
  return head.faultyAddress === undefined
    ? 'refused by it'
    : `refused, ${head.faultyAddress} at fault`;
}

/** Whether the head proves that the request did not run. */
export function provesNotRun(head: AnswerHead): boolean {
  return head.notRun || head.isMisdirected;
}
