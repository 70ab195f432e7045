import {createSeededRandom, FailureDomain, TargetId, toId} from '@radishgw/core';
import {expect} from 'chai';
import fc from 'fast-check';
import {
  createRoleState,
  decideRoles,
  DEFAULT_ROLE_SETTINGS,
  EngineLoad,
  EngineRole,
  maxRoleChangesPerHour,
  RoleChange,
  RoleState,
} from '../src/index.js';

const HOUR_MS = 3_600_000;
const STEP_MS = 5000;

interface Change extends RoleChange {
  readonly atMs: number;
}

/**
 * Runs the policy in a closed loop: reports are delayed by `lagSteps`, and work is assigned to the
 * engines whose role allows it.
 * @param shareAt prefill share at a time; `load` is the load of the pool as a share of its engines
 */
function runPool(options: {
  readonly engines: number;
  readonly lagSteps: number;
  readonly durationMs: number;
  readonly load: number;
  shareAt(nowMs: number): number;
}) {
  const roles: EngineRole[] = Array.from({length: options.engines}, (_, index) =>
    index < 0.32 * options.engines ? 'prefill' : 'decode',
  );
  const roleSinceMs = roles.map(() => -Infinity);
  const history: number[] = [];
  const changes: Change[] = [];
  let state: RoleState = createRoleState(0);
  for (let nowMs = 0; nowMs < options.durationMs; nowMs += STEP_MS) {
    history.push(options.shareAt(nowMs));
    const share = history[Math.max(0, history.length - 1 - options.lagSteps)];
    const engines = roles.map((role, index): EngineLoad => {
      const prefill = roles.filter(other => other !== 'decode').length;
      const decode = roles.filter(other => other !== 'prefill').length;
      return {
        targetId: toId<TargetId>(`t${index}`),
        failureDomain: toId<FailureDomain>(`d${index % 3}`),
        role,
        roleAgeMs: nowMs - roleSinceMs[index],
        changing: nowMs - roleSinceMs[index] < 10_000,
        leaving: false,
        reportAgeMs: options.lagSteps * STEP_MS,
        prefillWork: role === 'decode' ? 0 : (share * options.load * options.engines) / prefill,
        prefillBacklogMs: 0,
        decodeWork:
          role === 'prefill' ? 0 : ((1 - share) * options.load * options.engines) / decode,
        decodeBacklog: 0,
      };
    });
    const decision = decideRoles(state, {engines}, DEFAULT_ROLE_SETTINGS, nowMs);
    state = decision.state;
    for (const change of decision.changes) {
      const index = Number(change.targetId.slice(1));
      expect(roles[index]).to.equal(change.from);
      expect(nowMs - roleSinceMs[index]).to.be.at.least(DEFAULT_ROLE_SETTINGS.minDwellMs);
      roles[index] = change.to;
      roleSinceMs[index] = nowMs;
      changes.push({...change, atMs: nowMs});
    }
    expect(roles.some(role => role !== 'decode')).to.equal(true);
    expect(roles.some(role => role !== 'prefill')).to.equal(true);
  }
  return {roles, changes};
}

function countRole(roles: readonly EngineRole[], role: EngineRole): number {
  return roles.filter(other => other === role).length;
}

describe('decideRoles', () => {
  it('keeps the minimum dwell time and the hourly limit for any demand and report lag', () => {
    // Guards against constant role changes when the demand changes at random.
    fc.assert(
      fc.property(
        fc.integer({min: 2, max: 40}),
        fc.integer({min: 0, max: 3}),
        fc.integer({min: 1, max: 1000}),
        fc.integer({min: 1, max: 60}),
        (engines, lagSteps, seed, holdSteps) => {
          const random = createSeededRandom(seed);
          let share = 0.32;
          let step = 0;
          const {changes} = runPool({
            engines,
            lagSteps,
            durationMs: 2 * HOUR_MS,
            load: 0.8,
            shareAt: () => {
              if (step++ % holdSteps === 0) share = random.next();
              return share;
            },
          });
          const bound = maxRoleChangesPerHour(DEFAULT_ROLE_SETTINGS, engines);
          for (const {atMs} of changes) {
            const inHour = changes.filter(
              other => other.atMs >= atMs && other.atMs < atMs + HOUR_MS,
            );
            expect(inHour.length).to.be.at.most(bound);
          }
        },
      ),
      {numRuns: 40, seed: 11},
    );
  });

  it('follows a lasting shift without oscillation when reports are 15 s late', () => {
    // Guards against delayed reports that make the policy overshoot and then reverse.
    const {roles, changes} = runPool({
      engines: 30,
      lagSteps: 3,
      durationMs: 3 * HOUR_MS,
      load: 0.7,
      shareAt: nowMs => (nowMs < HOUR_MS ? 0.32 : 0.48),
    });
    const position = countRole(roles, 'prefill') + countRole(roles, 'both') / 2;
    const {plannedPrefillUse, plannedDecodeUse, deadbandShare} = DEFAULT_ROLE_SETTINGS;
    const prefill = 0.48 / plannedPrefillUse;
    const wanted = (30 * prefill) / (prefill + 0.52 / plannedDecodeUse);
    expect(Math.abs(position - wanted)).to.be.at.most(30 * deadbandShare + 0.5);
    const late = changes.filter(change => change.atMs > 1.5 * HOUR_MS);
    expect(late).to.deep.equal([]);
    expect(changes.some(change => change.to === 'decode')).to.equal(false);
  });

  it('ignores noise around a constant share', () => {
    // Guards against role changes that cost capacity without any benefit.
    const random = createSeededRandom(5);
    const {changes} = runPool({
      engines: 13,
      lagSteps: 2,
      durationMs: 6 * HOUR_MS,
      load: 0.6,
      shareAt: () => 0.32 + 0.1 * (random.next() - 0.5),
    });
    expect(changes.length).to.be.at.most(2);
  });

  it('changes nothing when most reports are old', () => {
    // Guards against decisions based on an outdated state of the pool.
    const engines = Array.from({length: 10}, (_, index): EngineLoad => ({
      targetId: toId<TargetId>(`t${index}`),
      failureDomain: toId<FailureDomain>('d'),
      role: 'decode',
      roleAgeMs: Infinity,
      changing: false,
      leaving: false,
      reportAgeMs: index < 5 ? 1000 : 60_000,
      prefillWork: 1,
      prefillBacklogMs: 60_000,
      decodeWork: 0,
      decodeBacklog: 0,
    }));
    const decision = decideRoles(createRoleState(0), {engines}, DEFAULT_ROLE_SETTINGS, 0);
    expect(decision.changes).to.deep.equal([]);
    expect(decision.reason.rule).to.equal('hold.reports');
  });

  it('counts the changes of an earlier holder against the hourly limit', () => {
    // Guards against takeovers that reset the hourly limit.
    const engines = Array.from({length: 10}, (_, index): EngineLoad => ({
      targetId: toId<TargetId>(`t${index}`),
      failureDomain: toId<FailureDomain>('d'),
      role: 'decode',
      roleAgeMs: Infinity,
      changing: false,
      leaving: false,
      reportAgeMs: 1000,
      prefillWork: 0.6,
      prefillBacklogMs: 0,
      decodeWork: 0.3,
      decodeBacklog: 0,
    }));
    const ages = Array.from({length: 12}, () => 1_800_000);
    const decideAfterWarmUp = (start: RoleState) => {
      const first = decideRoles(start, {engines}, DEFAULT_ROLE_SETTINGS, 0);
      expect(first.reason.rule).to.equal('hold.warmUp');
      const {warmUpMs} = DEFAULT_ROLE_SETTINGS;
      return decideRoles(first.state, {engines}, DEFAULT_ROLE_SETTINGS, warmUpMs);
    };
    const bound = decideAfterWarmUp(createRoleState(0, ages));
    expect(bound.changes).to.deep.equal([]);
    expect(bound.reason.rule).to.equal('hold.hourly');
    const free = decideAfterWarmUp(createRoleState(0));
    expect(free.changes.length).to.equal(1);
  });
});
