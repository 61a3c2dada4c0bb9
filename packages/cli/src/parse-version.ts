/**
 * Parses a version number given on the command line.
 */
import { LapisError, ResultCode } from '@lapisbridge/errors';

export function parseVersion(text: string): number {
  const version = Number(text);
  if (text !== '' && Number.isInteger(version) && version >= 0) return version;
  throw new LapisError(ResultCode.BadRequest, `${text} is not a version: give a whole number`);
}
