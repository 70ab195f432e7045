import {Result} from '@radishgw/core';
import {PlatformError} from '@radishgw/coordination';
import {CommandError, ExitName} from './errors.js';

const EXITS: Readonly<Record<PlatformError['kind'], ExitName>> = {
  unavailable: 'unavailable',
  outcomeUnknown: 'unknown',
  conflict: 'conflict',
  notFound: 'failed',
  rejected: 'failed',
};

/** Gives the value of a platform answer, or ends the command with the matching exit code. */
export function expectAnswer<T>(answer: Result<T, PlatformError>, what: string): T {
  if (answer.ok) return answer.val;
  const error = answer.val;
  const detail =
    error.kind === 'conflict'
      ? `changed by someone else, now at revision ${error.revision}`
      : 'detail' in error
        ? error.detail
        : 'not found';
  throw new CommandError(EXITS[error.kind], `${what}: ${error.kind}: ${detail}`);
}
