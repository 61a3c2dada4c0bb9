/**
 * What the head of a backend server's answer says: whether it can be believed, and whether it
 * proves that the request did not run.
 */
import { RetryAfterKind } from './caller-protocol.js';
import type { ResponseHead } from './caller-protocol.js';

const SUCCESS_FROM = 200;
const SUCCESS_TO = 300;

export function isSuccess(status: number): boolean {
  return status >= SUCCESS_FROM && status < SUCCESS_TO;
}

/** Reasons for which the head of an answer is not believed; undefined when it is sound. */
export function findHeadFault(head: ResponseHead, requestId: string): string | undefined {
  if (head.requestId !== requestId) return 'answer to another request';
  if (isSuccess(head.status) && !head.isSigned) return 'success without a signature';
  return undefined;
}

function describeBackoff({ retryAfter }: ResponseHead): string {
  if (retryAfter.kind !== RetryAfterKind.Stated) return '';
  return `, back off for ${Math.round(retryAfter.milliseconds)} ms`;
}

export function describeRefusal(head: ResponseHead): string {
  if (head.isMisdirected) return 'another server has the address';
  return head.faultyAddress === undefined
    ? `refused by it${describeBackoff(head)}`
    : `refused, ${head.faultyAddress} at fault`;
}

/** Whether the head is that of the server that the request was sent to. */
export function isFromAddressedServer(head: ResponseHead, requestId: string): boolean {
  if (head.isMisdirected) return false;
  // Refusals need not name the request.
  return provesNotRun(head) || findHeadFault(head, requestId) === undefined;
}

/** Whether the head proves that the request did not run. */
export function provesNotRun(head: ResponseHead): boolean {
  return head.notRun || head.isMisdirected;
}
