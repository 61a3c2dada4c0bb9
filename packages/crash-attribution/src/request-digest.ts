/**
 * Identifies a request by its content. Callers give every attempt another id, so only the content
 * shows that two attempts are of one request. The digest has two parts: the first covers everything
 * but the body, so that a body is hashed only when the rest equals that of a listed request.
 */
import { createHash } from 'node:crypto';

export interface RequestContent {
  readonly method: string;
  readonly host: string;
  readonly target: string;
  readonly promptParts: readonly string[];
  readonly body: Buffer;
}

export interface RequestDigest {
  /** Covers everything but the bytes of the body; begins `full()`. */
  head(): string;
  /** Identifies the content; safe to log and to send, since it does not contain it. */
  full(): string;
}

/** Sets digests apart from ids of prompt parts, which are hexadecimal. */
export const REQUEST_PREFIX = 'r';
const HEAD_HASH_LENGTH = 12;
/** Characters of the digest that cover everything but the body. */
export const DIGEST_HEAD_LENGTH = REQUEST_PREFIX.length + HEAD_HASH_LENGTH;
const BODY_LENGTH = 16;

function shortHash(content: string | Buffer, length: number): string {
  return createHash('sha256').update(content).digest('hex').slice(0, length);
}

export function createRequestDigest(content: RequestContent): RequestDigest {
  const { method, host, target, promptParts, body } = content;
  let head: string | undefined;
  let full: string | undefined;

  function headOf(): string {
    const fields = [method, host, target, promptParts.join(','), String(body.length)];
    head ??= REQUEST_PREFIX + shortHash(fields.join('\n'), HEAD_HASH_LENGTH);
    return head;
  }

  return {
    head: headOf,
    full() {
      full ??= headOf() + (body.length === 0 ? '' : shortHash(body, BODY_LENGTH));
      return full;
    },
  };
}

/** Whether the id is that of a request instead of a prompt part. */
export function isRequestDigest(id: string): boolean {
  return id.startsWith(REQUEST_PREFIX);
}
