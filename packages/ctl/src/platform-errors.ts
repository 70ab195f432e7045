import {Result} from '@radishgw/core';
import {PlatformError} from '@radishgw/coordination';
import {CommandError, ExitName} from './errors.js';

const EXIT_BY_ERROR_KIND: Readonly<Record<PlatformError['kind'], ExitName>> = {
  unavailable: 'unavailable',
  outcomeUnknown: 'unknown',
  conflict: 'conflict',
  notFound: 'failed',
  rejected: 'failed',
};

/** Returns the value of a platform call, or throws an error with the matching exit code. */
export function unwrapResult<T>(result: Result<T, PlatformError>, operation: string): T {
  if (result.ok) return result.val;
  const error = result.val;
  const detail =
    error.kind === 'conflict'
      ? `changed concurrently, now at revision ${error.revision}`
      : 'detail' in error
        ? error.detail
        : 'not found';
  throw new CommandError(EXIT_BY_ERROR_KIND[error.kind], `${operation}: ${error.kind}: ${detail}`);
}
