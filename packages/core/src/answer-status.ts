const MIN_STATUS = 100;
const MAX_STATUS = 599;

/**
 * Whether an answer may have this status. One with another status counts as a server error (RFC 9110,
 * section 15); nothing else that it says is believed either.
 */
export function isValidStatus(status: number): boolean {
  return status >= MIN_STATUS && status <= MAX_STATUS;
}
