import {RequestId, TeamId} from '@radishgw/core';

/** Classes of work in the order of service. */
export const WORK_CLASSES = ['urgent', 'standard', 'batch'] as const;

export type WorkClass = (typeof WORK_CLASSES)[number];

/** Position of a class in the order of service; also the priority given to engines. */
export const CLASS_RANK: Readonly<Record<WorkClass, number>> = {urgent: 0, standard: 1, batch: 2};

/** A request as the queue sees it. */
export interface QueueItem {
  readonly id: RequestId;
  readonly team: TeamId;
  readonly workClass: WorkClass;
  /** Prompt tokens, or the route's `costTokens` for a service call. */
  readonly promptTokens: number;
  /** Most tokens that the response may have; 0 for a service call. */
  readonly maxOutputTokens: number;
  /** Monotonic time after which the item must not be dispatched. */
  readonly deadlineMs: number;
}
