import {RequestRecord} from './serving-types.js';

/** Tokens that a team was served, and its fair share, within a period. */
export interface TeamService {
  readonly team: string;
  readonly servedTokens: number;
  readonly dueTokens: number;
}

const WINDOW_MS = 1000;

function countTokens({arrival}: RequestRecord): number {
  return arrival.promptTokens + arrival.outputTokens;
}

/**
 * Compares the service of each team with weighted max-min fairness. A request's tokens count as
 * served when it is dispatched. The reference allocates the same total in each second: each team
 * gets a share by weight, and what a team doesn't need goes to the others. Only the period from
 * `fromMs` to `toMs` counts, but the reference runs from the start to include the earlier backlog.
 */
export function measureShares(
  records: readonly RequestRecord[],
  weights: Readonly<Record<string, number>>,
  fromMs: number,
  toMs: number,
): TeamService[] {
  const teams = Object.keys(weights);
  const windows = Math.ceil(toMs / WINDOW_MS);
  const zeros = () => new Map(teams.map(team => [team, 0]));
  const arrived = Array.from({length: windows}, zeros);
  const served = Array.from({length: windows}, zeros);
  for (const record of records) {
    addTokens(arrived, record.arrival.atMs, record);
    if (record.dispatchedMs !== undefined && record.outcome !== 'failed') {
      addTokens(served, record.dispatchedMs, record);
    }
  }
  const backlog = zeros();
  const totals = new Map(teams.map(team => [team, {served: 0, due: 0}]));
  for (let window = 0; window < windows; window++) {
    let total = 0;
    for (const team of teams) {
      backlog.set(team, backlog.get(team)! + arrived[window].get(team)!);
      total += served[window].get(team)!;
    }
    const shares = allocateMaxMin(backlog, weights, total);
    for (const team of teams) {
      backlog.set(team, backlog.get(team)! - shares.get(team)!);
      if (window * WINDOW_MS < fromMs) continue;
      totals.get(team)!.served += served[window].get(team)!;
      totals.get(team)!.due += shares.get(team)!;
    }
  }
  return teams.map(team => ({
    team,
    servedTokens: totals.get(team)!.served,
    dueTokens: totals.get(team)!.due,
  }));
}

function addTokens(
  windows: readonly Map<string, number>[],
  atMs: number,
  record: RequestRecord,
): void {
  const window = windows[Math.floor(atMs / WINDOW_MS)];
  if (!window) return;
  const {team} = record.arrival;
  window.set(team, window.get(team)! + countTokens(record));
}

/** Weighted max-min allocation of `total` among demands. */
export function allocateMaxMin(
  demands: ReadonlyMap<string, number>,
  weights: Readonly<Record<string, number>>,
  total: number,
): Map<string, number> {
  const shares = new Map<string, number>();
  let unsatisfied = [...demands.keys()];
  let remaining = total;
  for (;;) {
    const weightSum = unsatisfied.reduce((sum, team) => sum + weights[team], 0);
    const satisfied = unsatisfied.filter(
      team => demands.get(team)! <= (remaining * weights[team]) / weightSum,
    );
    if (satisfied.length === 0) {
      for (const team of unsatisfied) shares.set(team, (remaining * weights[team]) / weightSum);
      return shares;
    }
    for (const team of satisfied) {
      shares.set(team, demands.get(team)!);
      remaining -= demands.get(team)!;
    }
    unsatisfied = unsatisfied.filter(team => !satisfied.includes(team));
    if (unsatisfied.length === 0) return shares;
  }
}
