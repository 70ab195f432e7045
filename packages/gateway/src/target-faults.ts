/** What callers are told of an answer whose status no answer may have. */
export const INVALID_STATUS_FAULT = 'answer has an invalid status';
