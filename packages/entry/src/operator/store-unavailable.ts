/**
 * The error of an operator's request that needs the platform's table while it is away.
 */
import { LapisError, ResultCode } from '@lapisbridge/errors';

export function storeUnavailable(): LapisError {
  return new LapisError(ResultCode.StoreUnavailable, 'the platform’s table does not answer');
}
