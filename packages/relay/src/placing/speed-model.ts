import {TargetWork} from '../model.js';

/**
 * Time constant of the observations that hosts report. Each is known to all hosts before it has
 * faded, and a host reports few targets at a time.
 */
const WINDOW_MS = 8000;

/** Time constant of what is remembered: a target's speed depends on its machine and lasts. */
const MEMORY_MS = 60_000;

/** Longest time between two reports that is added to the memory; more says nothing of the gap. */
const MAX_STEP_MS = 3000;

/** Maximum number of targets in the report of a host. */
const MAX_REPORTED = 32;

/** Maximum number of targets in a sum over all hosts. */
const MAX_SUMMARIZED = 400;

/** Reports have weights and sums in hundredths. */
const REPORT_SCALE = 100;

/** Weight of the assumption that a target is as fast as the others, in responses. */
const PRIOR_WEIGHT = 2;

/** Weight of the assumption that the expected times are right on average, in responses. */
const LEVEL_PRIOR_WEIGHT = 4;

/** Weight with which one target counts towards the mean of its group at most. */
const MAX_LEVEL_WEIGHT = 5;

/** Logarithm of the largest ratio of a target's time to the mean. */
const MAX_LOG_DEVIATION = 1.2;

/** Distance from the estimate to which an observation is limited, so that outliers move it little. */
const MAX_LOG_STEP = 0.6;

interface Tally {
  weight: number;
  logSum: number;
  workMs: number;
  atMs: number;
}

/** Estimated speed and utilization of a target. */
export interface TargetSpeed {
  /** Multiple of the expected time that work takes at the target. */
  readonly timeFactor: number;
  /** Share of the time for which the target has been given work, by all hosts. */
  readonly utilization: number;
}

/**
 * Speeds of targets relative to the expected times, from the observations of all hosts. In a large
 * fleet one host sees a target too rarely to learn its speed alone. Targets are identified by their
 * incarnation.
 */
export class SpeedModel {
  /** Observations of this host. */
  private readonly own = new Map<string, Tally>();
  /** Sum of the latest reports of the other hosts. */
  private others = new Map<string, Tally>();
  /** Sum of earlier observations of all hosts, faded with {@link MEMORY_MS}. */
  private readonly memory = new Map<string, {weight: number; logSum: number}>();
  private appliedAtMs = -Infinity;

  /** Records the logarithm of the ratio of actual to expected time of a response. */
  recordRatio(key: string, logRatio: number, weight: number, nowMs: number): void {
    const {weight: known, logSum} = this.sum(key, nowMs);
    const mean = logSum / (known + PRIOR_WEIGHT);
    // The fewer responses are known, the further the first estimate may be off.
    const maxStep = MAX_LOG_STEP * (1 + PRIOR_WEIGHT / (known + 1));
    const limited = Math.min(mean + maxStep, Math.max(mean - maxStep, logRatio));
    const tally = this.ownTally(key, nowMs);
    tally.weight += weight;
    tally.logSum += weight * limited;
  }

  /** Records that work was sent to a target; `workMs` is the time that it is expected to take. */
  recordWork(key: string, workMs: number, nowMs: number): void {
    this.ownTally(key, nowMs).workMs += workMs;
  }

  /** The observations of this host by incarnation, those of the most important targets. */
  report(nowMs: number): Record<string, TargetWork> {
    const tallies = [...this.own].map(([key, tally]) => [key, age(tally, nowMs)] as const);
    for (const [key, {weight, workMs}] of tallies) {
      if (weight < 0.01 && workMs < 1) this.own.delete(key);
    }
    return toReport(tallies, MAX_REPORTED);
  }

  /** The sum of the observations of all hosts. */
  summarize(nowMs: number): Record<string, TargetWork> {
    const keys = new Set([...this.own.keys(), ...this.others.keys()]);
    return toReport(
      [...keys].map(key => [key, this.recent(key, nowMs)] as const),
      MAX_SUMMARIZED,
    );
  }

  /** Applies the latest reports of the other hosts, which replace their earlier ones. */
  applyReports(reports: Iterable<Readonly<Record<string, TargetWork>>>, nowMs: number): void {
    const merged = new Map<string, Tally>();
    for (const report of reports) {
      for (const [key, [weight, logSum, workMs]] of Object.entries(report)) {
        let tally = merged.get(key);
        if (!tally) merged.set(key, (tally = createTally(nowMs)));
        tally.weight += weight / REPORT_SCALE;
        tally.logSum += logSum / REPORT_SCALE;
        tally.workMs += workMs;
      }
    }
    this.others = merged;
    const stepMs = Math.min(MAX_STEP_MS, nowMs - this.appliedAtMs);
    this.appliedAtMs = nowMs;
    this.remember(stepMs, nowMs);
  }

  /**
   * The speeds of a group of targets that do the same kind of work, in their order. The time factor
   * of a target is that of the group times its deviation, which is shrunk by the number of
   * responses.
   */
  speedsOf(keys: readonly string[], nowMs: number): TargetSpeed[] {
    const sums = keys.map(key => this.sum(key, nowMs));
    let levelWeight = LEVEL_PRIOR_WEIGHT;
    let levelSum = 0;
    for (const {weight, logSum} of sums) {
      if (weight === 0) continue;
      const counted = Math.min(MAX_LEVEL_WEIGHT, weight);
      levelWeight += counted;
      levelSum += (counted * logSum) / weight;
    }
    const level = levelSum / levelWeight;
    return sums.map(({weight, logSum, workMs}) => {
      const deviation = (logSum - weight * level) / (weight + PRIOR_WEIGHT);
      const limited = Math.min(MAX_LOG_DEVIATION, Math.max(-MAX_LOG_DEVIATION, deviation));
      return {timeFactor: Math.exp(level + limited), utilization: workMs / WINDOW_MS};
    });
  }

  /**
   * Moves the share of the recent observations that fades in `stepMs` to the memory. Together the
   * two have each observation once.
   */
  private remember(stepMs: number, nowMs: number): void {
    const kept = Math.exp(-stepMs / MEMORY_MS);
    for (const [key, memory] of this.memory) {
      memory.weight *= kept;
      memory.logSum *= kept;
      if (memory.weight < 0.05) this.memory.delete(key);
    }
    for (const key of new Set([...this.own.keys(), ...this.others.keys()])) {
      const {weight, logSum} = this.recent(key, nowMs);
      if (weight === 0) continue;
      const memory = this.memory.get(key) ?? {weight: 0, logSum: 0};
      memory.weight += (weight * stepMs) / WINDOW_MS;
      memory.logSum += (logSum * stepMs) / WINDOW_MS;
      this.memory.set(key, memory);
    }
  }

  private recent(key: string, nowMs: number): Omit<Tally, 'atMs'> {
    const own = this.own.get(key);
    const others = this.others.get(key);
    const a = own ? age(own, nowMs) : EMPTY;
    const b = others ? age(others, nowMs) : EMPTY;
    return {
      weight: a.weight + b.weight,
      logSum: a.logSum + b.logSum,
      workMs: a.workMs + b.workMs,
    };
  }

  private sum(key: string, nowMs: number): Omit<Tally, 'atMs'> {
    const {weight, logSum, workMs} = this.recent(key, nowMs);
    const memory = this.memory.get(key);
    return {
      weight: weight + (memory?.weight ?? 0),
      logSum: logSum + (memory?.logSum ?? 0),
      workMs,
    };
  }

  private ownTally(key: string, nowMs: number): Tally {
    let tally = this.own.get(key);
    if (!tally) {
      tally = createTally(nowMs);
      this.own.set(key, tally);
      return tally;
    }
    Object.assign(tally, age(tally, nowMs), {atMs: nowMs});
    return tally;
  }
}

const EMPTY = {weight: 0, logSum: 0, workMs: 0};

function createTally(nowMs: number): Tally {
  return {...EMPTY, atMs: nowMs};
}

function age({weight, logSum, workMs, atMs}: Tally, nowMs: number): Omit<Tally, 'atMs'> {
  const kept = Math.exp(-Math.max(0, nowMs - atMs) / WINDOW_MS);
  return {weight: weight * kept, logSum: logSum * kept, workMs: workMs * kept};
}

function toReport(
  tallies: readonly (readonly [string, Omit<Tally, 'atMs'>])[],
  maxCount: number,
): Record<string, TargetWork> {
  const importance = ({weight, workMs}: Omit<Tally, 'atMs'>) => weight + workMs / REPORT_SCALE;
  return Object.fromEntries(
    tallies
      .filter(([, tally]) => importance(tally) >= 0.1)
      .sort(([, a], [, b]) => importance(b) - importance(a))
      .slice(0, maxCount)
      .map(([key, {weight, logSum, workMs}]) => [
        key,
        [
          Math.round(weight * REPORT_SCALE),
          Math.round(logSum * REPORT_SCALE),
          Math.round(workMs),
        ] as const,
      ]),
  );
}
