import {RequestRecord} from './serving-types.js';

/** Tokens that a team got and was due within a period. */
export interface TeamService {
  readonly team: string;
  readonly servedTokens: number;
  readonly dueTokens: number;
}

const WINDOW_MS = 1000;

function tokensOf({arrival}: RequestRecord): number {
  return arrival.promptTokens + arrival.outputTokens;
}

/**
 * Service by team against weighted max-min fairness. A request's tokens count as served when it is
 * dispatched. The reference gives out the same total in each second: each team gets its weight's
 * share, and what a team doesn't need goes to the others. `fromMs` to `toMs` is the period that
 * counts; the reference runs from the beginning, so that it has the backlog of the time before.
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
    add(arrived, record.arrival.atMs, record);
    if (record.dispatchedMs !== undefined && record.outcome !== 'failed') {
      add(served, record.dispatchedMs, record);
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
    const shares = fillByWeight(backlog, weights, total);
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

function add(windows: readonly Map<string, number>[], atMs: number, record: RequestRecord): void {
  const window = windows[Math.floor(atMs / WINDOW_MS)];
  if (!window) return;
  const {team} = record.arrival;
  window.set(team, window.get(team)! + tokensOf(record));
}

/** Weighted max-min allocation of `total` among demands. */
export function fillByWeight(
  demands: ReadonlyMap<string, number>,
  weights: Readonly<Record<string, number>>,
  total: number,
): Map<string, number> {
  const shares = new Map<string, number>();
  let open = [...demands.keys()];
  let rest = total;
  for (;;) {
    const weightSum = open.reduce((sum, team) => sum + weights[team], 0);
    const satisfied = open.filter(team => demands.get(team)! <= (rest * weights[team]) / weightSum);
    if (satisfied.length === 0) {
      for (const team of open) shares.set(team, (rest * weights[team]) / weightSum);
      return shares;
    }
    for (const team of satisfied) {
      shares.set(team, demands.get(team)!);
      rest -= demands.get(team)!;
    }
    open = open.filter(team => !satisfied.includes(team));
    if (open.length === 0) return shares;
  }
}
