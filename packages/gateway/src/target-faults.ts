import {errors} from 'undici';

/** What callers are told of an answer whose status no answer may have. */
export const INVALID_STATUS_FAULT = 'answer has an invalid status';

/** What callers are told of failed calls to targets, by error code. */
const FAULTS: Readonly<Record<string, string>> = {
  ECONNREFUSED: 'connection was refused',
  UND_ERR_CONNECT_TIMEOUT: 'connection timed out',
  CONNECTION_RESET: 'connection was reset',
  UND_ERR_SOCKET: 'connection was closed',
  UND_ERR_HEADERS_OVERFLOW: 'head of the answer is too large',
};

/**
 * Describes a failed call to a target for callers. The texts of libraries may name addresses and
 * source code; they are only logged.
 */
export function describeTargetFault(error: Error): string {
  if (error instanceof errors.HTTPParserError) return 'answer is not valid HTTP';
  return FAULTS[String((error as NodeJS.ErrnoException).code)] ?? 'call failed';
}

/** The text of the error that caused a failure, for the log; undefined if there is none. */
export function describeCause({cause}: Error): string | undefined {
  return cause instanceof Error ? cause.message : undefined;
}
