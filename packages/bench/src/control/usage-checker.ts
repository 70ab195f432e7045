import {assertInvariant, TeamId} from '@radishgw/core';
import {UsageReport} from '@radishgw/coordination';
import {Received} from '@radishgw/coordination/testing';
import {UsageReportBody} from '@radishgw/usage';

/** The parts of a serving process that {@link UsageChecker} inspects. */
export interface UsageSource {
  readonly name: string;
  /** Virtual time of the kill; undefined while the process runs or after a planned stop. */
  readonly killedAtMs: number | undefined;
  /** Epoch of the `usage` role while the host considers itself its holder. */
  heldEpoch(): number | undefined;
  readonly reportChecks: ReadonlyMap<string, {readonly atMs: number; readonly pauses: number}>;
  readonly process: {readonly pauses: number};
}

/** One call and its output tokens, recorded when it was served. */
interface RecordedCall {
  readonly atMs: number;
  readonly outputTokens: number;
}

/** Checks the reports that the platform received against the recorded calls. */
export class UsageChecker {
  /** Number of reports with an outdated epoch because the sender was paused after its check. */
  lateReports = 0;
  private readonly bodies = new Map<string, string>();
  private readonly recorded = new Map<string, RecordedCall[]>();
  private highestFencing = 0;

  constructor(
    private readonly sources: () => readonly UsageSource[],
    private readonly maxDeliveryMs: number,
  ) {}

  /** Records a call. Reports use the process's name as the model, which makes figures traceable. */
  record(source: string, teamId: TeamId, windowStartMs: number, call: RecordedCall): void {
    const key = figureKey(source, teamId, windowStartMs);
    const recordedCalls = this.recorded.get(key) ?? [];
    recordedCalls.push(call);
    this.recorded.set(key, recordedCalls);
  }

  checkSingleReporter(): void {
    const holders = this.sources().filter(source => source.heldEpoch() !== undefined);
    assertInvariant(holders.length <= 1, 'usage.oneReporter', () =>
      holders.map(({name}) => name).join(', '),
    );
  }

  checkReport({client, body: report, atMs}: Received<UsageReport>): void {
    const known = this.bodies.get(report.windowId) ?? report.body;
    this.bodies.set(report.windowId, known);
    assertInvariant(
      known === report.body,
      'usage.sameBytes',
      () => `window ${report.windowId} was reported as ${known} and as ${report.body}`,
    );
    const source = this.sources().find(({name}) => name === client)!;
    const checked = source.reportChecks.get(`${report.windowId}/${report.fencingNumber}`)!;
    const isLate =
      atMs - checked.atMs > this.maxDeliveryMs && source.process.pauses !== checked.pauses;
    if (report.fencingNumber < this.highestFencing && isLate) {
      this.lateReports++;
      return;
    }
    assertInvariant(
      report.fencingNumber >= this.highestFencing,
      'usage.reporterEpoch',
      () => `a report of epoch ${report.fencingNumber} arrived after epoch ${this.highestFencing}`,
    );
    this.highestFencing = report.fencingNumber;
  }

  /**
   * Compares all reported figures with the recorded calls. With `isExact`, each call of a process
   * that was not killed must be reported. Calls within `maxLossMs` before a kill may be missing.
   */
  checkTotals(isExact: boolean, maxLossMs: number | undefined): Record<string, number> {
    const reported = this.sumReported();
    const totals = {usesRecorded: 0, usesReported: 0, usesLost: 0};
    for (const [key, recordedCalls] of this.recorded) {
      const [name] = JSON.parse(key) as [string];
      const {killedAtMs} = this.sources().find(source => source.name === name)!;
      const calls = reported.get(key)?.calls ?? 0;
      const outputTokens = reported.get(key)?.outputTokens ?? 0;
      const wantedTokens = recordedCalls.reduce((sum, call) => sum + call.outputTokens, 0);
      totals.usesRecorded += recordedCalls.length;
      totals.usesReported += calls;
      totals.usesLost += recordedCalls.length - calls;
      assertInvariant(
        calls <= recordedCalls.length && outputTokens <= wantedTokens,
        'usage.atMostOnce',
        () => `${key}: ${calls} calls reported of ${recordedCalls.length}`,
      );
      const mayBeLost =
        killedAtMs === undefined || maxLossMs === undefined
          ? 0
          : recordedCalls.filter(call => call.atMs >= killedAtMs - maxLossMs).length;
      const isBounded = isExact && (killedAtMs === undefined || maxLossMs !== undefined);
      assertInvariant(
        !isBounded || recordedCalls.length - calls <= mayBeLost,
        'usage.loss',
        () =>
          `${key}: ${calls} calls reported of ${recordedCalls.length}, ${mayBeLost} may be lost`,
      );
      reported.delete(key);
    }
    assertInvariant(
      reported.size === 0,
      'usage.invented',
      () => `figures that were never recorded: ${[...reported.keys()].join(', ')}`,
    );
    return totals;
  }

  private sumReported(): Map<string, {calls: number; outputTokens: number}> {
    const sums = new Map<string, {calls: number; outputTokens: number}>();
    for (const body of this.bodies.values()) {
      for (const figure of (JSON.parse(body) as UsageReportBody).figures) {
        const key = figureKey(figure.modelOrRoute, figure.teamId, figure.windowStartMs);
        const sum = sums.get(key) ?? {calls: 0, outputTokens: 0};
        sum.calls += figure.calls;
        sum.outputTokens += figure.outputTokens;
        sums.set(key, sum);
      }
    }
    return sums;
  }
}

function figureKey(source: string, teamId: TeamId, windowStartMs: number): string {
  return JSON.stringify([source, teamId, windowStartMs]);
}
