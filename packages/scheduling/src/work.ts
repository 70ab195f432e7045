import {RequestId, TeamId} from '@radishgw/core';

/** Work classes in descending order of priority. */
export const WORK_CLASSES = ['urgent', 'standard', 'batch'] as const;

export type WorkClass = (typeof WORK_CLASSES)[number];

/** Rank of a class, also passed to engines as the priority; the lowest rank is served first. */
export const CLASS_RANK: Readonly<Record<WorkClass, number>> = {urgent: 0, standard: 1, batch: 2};

/** A queued request. */
export interface QueueItem {
  readonly id: RequestId;
  readonly team: TeamId;
  readonly workClass: WorkClass;
  /** Prompt tokens, or the route's `costTokens` for a service call. */
  readonly promptTokens: number;
  /** Limit on the tokens of the response; 0 for a service call. */
  readonly maxOutputTokens: number;
  /** Monotonic time after which the item must not be dispatched. */
  readonly deadlineMs: number;
}
