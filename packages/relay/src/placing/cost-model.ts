/** Weight of the time of the wider group in the estimate of a kind of request, in responses. */
const PARENT_WEIGHT = 2;

/** Number of responses that an estimate covers at most, so that it follows changes. */
const MAX_WEIGHT = 40;

/** Number of responses from which outliers are limited, and their limit as a multiple. */
const MIN_KNOWN = 4;
const MAX_RATIO = 4;

/** Maximum number of kinds; those that haven't been seen for longest are dropped. */
const MAX_KINDS = 1000;

/** Longer paths are told apart by this many characters only. */
const MAX_PATH_CHARS = 128;

interface KindCost {
  meanMs: number;
  weight: number;
}

/** Kinds that a request belongs to, from the widest to the narrowest. */
export type CallKinds = readonly string[];

/**
 * The kinds of a request, by what a host knows of it: its route, the first segment of its path after
 * the prefix of the route, and the whole path with the size of the body and the team.
 */
export function kindsOf(request: {
  readonly service: string;
  readonly route: string;
  readonly pathPrefix: string;
  readonly path: string;
  readonly bodyBytes: number;
  readonly team: string | undefined;
}): CallKinds {
  const {service, route, pathPrefix, bodyBytes, team} = request;
  const path = request.path.split('?', 1)[0].slice(0, MAX_PATH_CHARS);
  const [segment] = path.slice(pathPrefix.length).split('/', 1);
  const sizeClass = Math.ceil(Math.log2(bodyBytes + 1) / 2);
  const routeKind = `${service} ${route}`;
  return [
    service,
    routeKind,
    `${routeKind} ${segment}`,
    `${routeKind} ${path} ${sizeClass} ${team ?? ''}`,
  ];
}

/** Expected time of requests at a target of mean speed, by kind, learned from responses. */
export class CostModel {
  /** The kinds seen last are at the end. */
  private readonly kinds = new Map<string, KindCost>();

  /**
   * Expected time in ms; undefined if no response of the widest kind is known. The estimate of a
   * kind with few responses is close to that of the wider one.
   */
  expectedMs(kinds: CallKinds): number | undefined {
    let expectedMs: number | undefined;
    for (const kind of kinds) {
      const cost = this.kinds.get(kind);
      if (!cost) continue;
      expectedMs =
        expectedMs === undefined
          ? cost.meanMs
          : (cost.weight * cost.meanMs + PARENT_WEIGHT * expectedMs) /
            (cost.weight + PARENT_WEIGHT);
    }
    return expectedMs;
  }

  /** How well the cost of the narrowest kind is known, from 0 to 1. */
  confidence(kinds: CallKinds): number {
    const weight = this.kinds.get(kinds[kinds.length - 1])?.weight ?? 0;
    return weight / (weight + PARENT_WEIGHT);
  }

  /** Records a time, without queueing and corrected by the speed of the target. */
  record(kinds: CallKinds, timeMs: number, weight: number): void {
    for (const kind of kinds) {
      const cost = this.kinds.get(kind) ?? {meanMs: timeMs, weight: 0};
      const isKnown = cost.weight >= MIN_KNOWN;
      const limited = isKnown ? Math.min(MAX_RATIO * cost.meanMs, timeMs) : timeMs;
      cost.weight = Math.min(MAX_WEIGHT, cost.weight + weight);
      cost.meanMs += (weight / Math.max(cost.weight, weight)) * (limited - cost.meanMs);
      this.kinds.delete(kind);
      this.kinds.set(kind, cost);
    }
    for (const kind of this.kinds.keys()) {
      if (this.kinds.size <= MAX_KINDS) break;
      this.kinds.delete(kind);
    }
  }
}
