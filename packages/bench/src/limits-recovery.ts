import {shardOfTeam} from '@radishgw/limits';
import {BenchRow} from './bench.js';
import {createScenario, Scenario, ScenarioEvent} from './limits-bench.js';

const EVENT_DELAY_MS = 15_000;
const RUN_MS = 45_000;

interface Recovery {
  ownerMs: number;
  grantMs: number;
  refused: number;
  admitted: number;
}

function measureRecovery(scenario: Scenario, seed: number): Recovery {
  const simulation = createScenario(scenario, seed);
  const {teamId} = simulation.options.teams[0];
  const shard = shardOfTeam(teamId, simulation.options.settings.shardCount);
  const startMs = simulation.clock.nowMs() + EVENT_DELAY_MS;
  const result: Recovery = {ownerMs: Infinity, grantMs: Infinity, refused: 0, admitted: 0};
  simulation.onGranted = (atMs, id) => {
    const {epoch} = simulation.store.shards.get(shard)!;
    if (id !== teamId || atMs <= startMs || epoch === 1) return;
    result.grantMs = Math.min(result.grantMs, atMs - startMs);
  };
  simulation.onWrongfulRefusal = (_, reason, id) => (result.refused += id === teamId ? 1 : 0);
  simulation.onAdmitted = (atMs, id) => {
    if (id === teamId && atMs > startMs && atMs < startMs + 10_000) result.admitted++;
  };
  while (simulation.clock.nowMs() < startMs + RUN_MS - EVENT_DELAY_MS) {
    simulation.clock.advance(1);
    const {epoch} = simulation.store.shards.get(shard)!;
    const elapsedMs = simulation.clock.nowMs() - startMs;
    if (epoch > 1 && elapsedMs > 0) result.ownerMs = Math.min(result.ownerMs, elapsedMs);
  }
  return result;
}

function median(values: number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)];
}

/** Time from the loss of a shard owner until its successor issues a grant, in virtual time. */
export function measureLimitsRecovery(seeds: readonly number[]): BenchRow[] {
  const events: ScenarioEvent[] = ['owner crash', 'planned stop'];
  return events.flatMap(event =>
    [0.5, 0.9].map(load => {
      const scenario: Scenario = {hostCount: 9, shape: 'steady', event, system: 'shared', load};
      const runs = seeds.map(seed => measureRecovery(scenario, seed));
      const grants = runs.map(run => run.grantMs);
      return {
        part: 'limits',
        event,
        load,
        runs: runs.length,
        'new owner ms (median)': Math.round(median(runs.map(run => run.ownerMs))),
        'grants ms (median)': Math.round(median(grants)),
        'grants ms (max)': Math.round(Math.max(...grants)),
        'admitted in 10 s': runs.reduce((sum, run) => sum + run.admitted, 0),
        refused: runs.reduce((sum, run) => sum + run.refused, 0),
      };
    }),
  );
}
