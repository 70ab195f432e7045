import {InvariantError, TeamId} from '@radishgw/core';

/** Relative tolerance for rounding errors in sums of tokens. */
const ROUNDING_TOLERANCE = 1e-6;

/** Options of a {@link ConformanceChecker}. */
export interface ConformanceCheckerOptions {
  /** Time after a change in which hosts may apply either limit; the larger values are allowed. */
  readonly limitChangeDelayMs: number;
  /** Bound on the relative drift of the owner's clock from true time. */
  readonly clockDriftFraction: number;
}

interface LimitPeriod {
  readonly fromMs: number;
  readonly tokensPerSecond: number;
  readonly burstTokens: number;
}

interface Admission {
  readonly atMs: number;
  tokens: number;
}

interface TeamRecord {
  readonly periods: LimitPeriod[];
  readonly admissions: Admission[];
}

/**
 * Checks whole-system runs against `limits.conformance`: in every interval of length t, the
 * admitted cost over all hosts is at most rate × t + burst. Requests count at their admission time
 * with their actual cost, so the check must run after all requests have been settled.
 */
export class ConformanceChecker {
  private readonly teams = new Map<TeamId, TeamRecord>();

  constructor(private readonly options: ConformanceCheckerOptions) {}

  /** Sets a team's limit from `nowMs` on. */
  setLimit(teamId: TeamId, tokensPerSecond: number, burstTokens: number, nowMs: number): void {
    this.getOrCreateRecord(teamId).periods.push({fromMs: nowMs, tokensPerSecond, burstTokens});
  }

  /** Records an admission. Set `tokens` of the result to the actual cost once it is known. */
  recordAdmission(teamId: TeamId, tokens: number, nowMs: number): Admission {
    const admission = {atMs: nowMs, tokens};
    this.getOrCreateRecord(teamId).admissions.push(admission);
    return admission;
  }

  /** Throws {@link InvariantError} with the largest excess of the first team above the bound. */
  check(): void {
    for (const [teamId, record] of this.teams) this.checkTeam(teamId, record);
  }

  /** Largest excess of any interval over the bound, in tokens; 0 when the bound holds. */
  largestExcessTokens(teamId: TeamId): number {
    return this.findExcess(this.getOrCreateRecord(teamId)).excess;
  }

  private getOrCreateRecord(teamId: TeamId): TeamRecord {
    let record = this.teams.get(teamId);
    if (!record) {
      record = {periods: [], admissions: []};
      this.teams.set(teamId, record);
    }
    return record;
  }

  private checkTeam(teamId: TeamId, record: TeamRecord): void {
    const {excess, atMs} = this.findExcess(record);
    if (excess <= 0) return;
    throw new InvariantError(
      'limits.conformance',
      `team ${teamId}: ${excess} tokens above rate × t + burst at ${atMs} ms`,
    );
  }

  private findExcess(record: TeamRecord): {excess: number; atMs: number} {
    const events = this.listEvents(record);
    let largest = {excess: 0, atMs: 0};
    let level = Infinity;
    let lastMs = -Infinity;
    for (const {atMs, tokens} of events) {
      const {rate, burst} = this.limitAt(record, lastMs);
      const refilled = lastMs === -Infinity ? Infinity : level + (rate * (atMs - lastMs)) / 1000;
      level = Math.min(refilled, burst, this.limitAt(record, atMs).burst) - tokens;
      lastMs = atMs;
      const excess = -level - burst * ROUNDING_TOLERANCE;
      if (excess > largest.excess) largest = {excess, atMs};
    }
    return largest;
  }

  /** Lists admissions and changes of the limit in force, in order of time. */
  private listEvents(record: TeamRecord): Admission[] {
    const events = [...record.admissions];
    for (const {fromMs} of record.periods) {
      events.push({atMs: fromMs, tokens: 0});
      events.push({atMs: fromMs + this.options.limitChangeDelayMs, tokens: 0});
    }
    return events.sort((a, b) => a.atMs - b.atMs);
  }

  /** Returns the largest limit that may be in force just after `atMs`. */
  private limitAt({periods}: TeamRecord, atMs: number): {rate: number; burst: number} {
    let rate = 0;
    let burst = 0;
    for (let i = 0; i < periods.length; i++) {
      const endMs = i + 1 < periods.length ? periods[i + 1].fromMs : Infinity;
      const started = i === 0 || periods[i].fromMs <= atMs;
      if (!started || endMs + this.options.limitChangeDelayMs <= atMs) continue;
      rate = Math.max(rate, periods[i].tokensPerSecond);
      burst = Math.max(burst, periods[i].burstTokens);
    }
    return {rate: rate * (1 + this.options.clockDriftFraction), burst};
  }
}
