/**
 * Evaluates the head of a backend server's response: whether it can be trusted, and whether it
 * proves that the request did not run.
 */
import { RetryAfterKind } from './caller-protocol.js';
import type { ResponseHead } from './caller-protocol.js';

const SUCCESS_FROM = 200;
const SUCCESS_TO = 300;

export function isSuccess(status: number): boolean {
  return status >= SUCCESS_FROM && status < SUCCESS_TO;
}

/** Returns why the head cannot be trusted; undefined when it is valid. */
export function findHeadFault(head: ResponseHead, requestId: string): string | undefined {
  if (head.requestId !== requestId) return 'response to another request';
  if (isSuccess(head.status) && !head.isSigned) return 'successful response without a signature';
  return undefined;
}

function describeBackoff({ retryAfter }: ResponseHead): string {
  if (retryAfter.kind !== RetryAfterKind.Stated) return '';
  return `, backoff of ${Math.round(retryAfter.milliseconds)} ms`;
}

export function describeRefusal(head: ResponseHead): string {
  if (head.isMisdirected) return 'the address belongs to another server';
  return head.faultyAddress === undefined
    ? `refused by the server${describeBackoff(head)}`
    : `refused because ${head.faultyAddress} failed`;
}

/** Whether the head comes from the server that the request was sent to. */
export function isFromAddressedServer(head: ResponseHead, requestId: string): boolean {
  if (head.isMisdirected) return false;
  return provesNotRun(head, requestId) || findHeadFault(head, requestId) === undefined;
}

/** Whether the head proves that the request did not run. */
export function provesNotRun(head: ResponseHead, requestId: string): boolean {
  // A refusal need not name the request, but one that names another may be an extra response.
  if (head.requestId !== undefined && head.requestId !== requestId) return false;
  return head.notRun || head.isMisdirected;
}
