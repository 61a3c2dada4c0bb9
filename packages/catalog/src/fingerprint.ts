/**
 * Short fingerprints by which instances compare what they know without sending it.
 */
import { createHash } from 'node:crypto';

const FINGERPRINT_CHARACTERS = 12;

/** The same for the same texts, in whatever order they come. */
export function fingerprintOf(texts: Iterable<string>): string {
  const hash = createHash('sha1');
  for (const text of [...texts].sort()) hash.update(text).update('\n');
  return hash.digest('base64').slice(0, FINGERPRINT_CHARACTERS);
}
