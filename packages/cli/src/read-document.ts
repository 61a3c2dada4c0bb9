/**
 * Reads a document file for a command.
 */
import { readFileSync } from 'node:fs';

import { checkDocument } from '@lapisbridge/config';
import { LapisError, ResultCode } from '@lapisbridge/errors';

export function readText(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (thrown) {
    throw new LapisError(ResultCode.DocumentInvalid, `${file}: ${(thrown as Error).message}`);
  }
}

/** The text of a file that holds a valid document; throws with every problem otherwise. */
export function readValidDocument(file: string): string {
  const text = readText(file);
  checkDocument(text).ifLeft((error) => {
    throw error;
  });
  return text;
}
