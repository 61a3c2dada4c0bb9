/**
 * Short content hashes, so that instances can compare their copies without sending them.
 */
import { createHash } from 'node:crypto';

const FINGERPRINT_CHARACTERS = 12;

/** Hashes a set of texts; the result does not depend on their order. */
export function fingerprintOf(texts: Iterable<string>): string {
  const hash = createHash('sha1');
  for (const text of [...texts].sort()) hash.update(text).update('\n');
  return hash.digest('base64').slice(0, FINGERPRINT_CHARACTERS);
}
