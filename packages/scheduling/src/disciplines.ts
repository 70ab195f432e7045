/** What a discipline knows about the item at the head of a lane. */
export interface HeadOfLane {
  /** Discipline's base at the item's arrival, see {@link Discipline.baseAtArrival}. */
  readonly base: number;
  /** Number of arrivals before the item. */
  readonly order: number;
  /** Expected cost divided by the team's weight. */
  readonly normalizedCost: number;
}

/**
 * Rule by which teams take turns. Tags are normalised service: tokens divided by the team's
 * weight in tokens per second, so that one unit is one second's worth of the team's rate.
 */
export interface Discipline {
  /** Lower bound of the start tag of an item that arrives now; `credit` is in seconds. */
  baseAtArrival(virtualTime: number, nowMs: number, creditSeconds: number): number;
  /** The head with the lowest key is served first. */
  key(head: HeadOfLane, teamTag: number): number;
}

/** Start tag of the item at the head of a lane. */
export function startTag(head: HeadOfLane, teamTag: number): number {
  return Math.max(head.base, teamTag);
}

/** Disciplines by name; `startTime` is the one in use, the others are kept for comparison. */
export const DISCIPLINES = {
  /**
   * Start-time fair queueing: least normalised service first, counted from becoming active. A
   * team that used less than its share keeps a bounded credit for its next burst.
   */
  startTime: {
    baseAtArrival: (virtualTime, _nowMs, creditSeconds) => virtualTime - creditSeconds,
    key: startTag,
  },
  /** Virtual Clock: tags run in real time, so service taken in idle times counts against a team. */
  virtualClock: {
    baseAtArrival: (_virtualTime, nowMs) => nowMs / 1000,
    key: (head, teamTag) => startTag(head, teamTag) + head.normalizedCost,
  },
  /** Order of arrival over all teams. */
  fifo: {
    baseAtArrival: virtualTime => virtualTime,
    key: head => head.order,
  },
} as const satisfies Record<string, Discipline>;

export type DisciplineName = keyof typeof DISCIPLINES;
