/** The properties of the item at the head of a lane that a discipline orders by. */
export interface LaneHead {
  /** Lower bound of the start tag, see {@link Discipline.minStartTagAtArrival}. */
  readonly minStartTag: number;
  /** Number of items that arrived before this one. */
  readonly arrivalIndex: number;
  /** Expected cost divided by the team's weight. */
  readonly normalizedCost: number;
}

/**
 * Queueing discipline: the order in which teams are served. Tags are normalised service, i.e.
 * tokens divided by the team's weight in tokens per second, so that one unit is the service that
 * the team receives in one second at its rate.
 */
export interface Discipline {
  /** Returns the lower bound of the start tag of an item that arrives now. */
  minStartTagAtArrival(virtualTime: number, nowMs: number, creditSeconds: number): number;
  /** Returns the sort key of a lane head; the lowest key is served first. */
  key(head: LaneHead, teamFinishTag: number): number;
}

/** Returns the start tag of the item at the head of a lane. */
export function startTag(head: LaneHead, teamFinishTag: number): number {
  return Math.max(head.minStartTag, teamFinishTag);
}

/** Disciplines by name. `startTime` is the default; the others serve as baselines in benchmarks. */
export const DISCIPLINES = {
  /**
   * Start-time fair queueing: the team with the least normalised service since it became active
   * is served first. A team that used less than its share keeps a bounded credit for its next
   * burst.
   */
  startTime: {
    minStartTagAtArrival: (virtualTime, _nowMs, creditSeconds) => virtualTime - creditSeconds,
    key: startTag,
  },
  /** Virtual Clock: tags advance in real time, so using idle capacity counts against a team. */
  virtualClock: {
    minStartTagAtArrival: (_virtualTime, nowMs) => nowMs / 1000,
    key: (head, teamFinishTag) => startTag(head, teamFinishTag) + head.normalizedCost,
  },
  /** First in, first out across all teams. */
  fifo: {
    minStartTagAtArrival: virtualTime => virtualTime,
    key: head => head.arrivalIndex,
  },
} as const satisfies Record<string, Discipline>;

export type DisciplineName = keyof typeof DISCIPLINES;
