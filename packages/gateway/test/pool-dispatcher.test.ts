import {BASE_KEY, ConfigStore, SCHEMA_VERSION, TargetConfig, WorkClass} from '@radishgw/config';
import {
  createHandlers,
  createSeededRandom,
  RequestId,
  startTask,
  toId,
  VirtualClock,
} from '@radishgw/core';
import {expect} from 'chai';
import {PoolDispatcher} from '../src/dispatch/pool-dispatcher.js';
import {DecisionLog} from '../src/operator/decision-log.js';
import {Dispatch, DispatchRequest} from '../src/request/ports.js';

function createTarget(targetId: string, changes: Partial<TargetConfig> = {}): TargetConfig {
  return {
    targetId,
    kind: 'engine',
    pool: 'models',
    url: 'http://127.0.0.1:1',
    failureDomain: 'a',
    cheap: false,
    checksFencing: true,
    state: 'active',
    slots: 4,
    ...changes,
  };
}

class DispatcherFixture {
  readonly clock = new VirtualClock();
  readonly config = new ConfigStore();
  readonly leaving = new Set<string>();
  readonly dispatcher = new PoolDispatcher({
    clock: this.clock,
    random: createSeededRandom(3),
    config: this.config,
    decisions: new DecisionLog(this.clock),
    isLeaving: targetId => this.leaving.has(targetId),
  });
  private revision = 0;
  private next = 0;

  setTargets(targets: TargetConfig[]): void {
    const base = {schemaVersion: SCHEMA_VERSION, templates: [], models: [], routes: [], targets};
    this.config.applyEvent({
      key: BASE_KEY,
      revision: ++this.revision,
      value: JSON.stringify(base),
      removed: false,
    });
    this.dispatcher.applyConfig();
  }

  /** Requests a slot; the dispatch or the refusal's name is appended once it is decided. */
  async acquire(workClass: WorkClass, repeatable: boolean): Promise<(Dispatch | string)[]> {
    const request: DispatchRequest = {
      requestId: toId<RequestId>(`r${this.next++}`),
      pool: 'models',
      team: undefined,
      workClass,
      costTokens: 20,
      promptTokens: 10,
      blocks: [],
      repeatable,
      deadlineMs: this.clock.nowMs() + 60_000,
      excluded: new Set(),
    };
    const outcomes: (Dispatch | string)[] = [];
    const task = startTask(this.dispatcher.acquire(request), createHandlers(this.clock));
    task.done.then(
      dispatch => dispatch && outcomes.push(dispatch),
      error => outcomes.push(String((error as {refusalName?: string}).refusalName)),
    );
    await new Promise(resolve => setImmediate(resolve));
    return outcomes;
  }
}

function getOutcome(outcomes: readonly (Dispatch | string)[]): string | undefined {
  const [first] = outcomes;
  return typeof first === 'object' ? first.target.targetId : first;
}

describe('PoolDispatcher', () => {
  it('sends neither urgent nor non-idempotent work to cheap targets', async () => {
    // Guards against work that is lost when a cheap target is reclaimed at a few seconds' notice.
    const fixture = new DispatcherFixture();
    fixture.setTargets([
      createTarget('cheap', {cheap: true, slots: 50}),
      createTarget('steady', {slots: 8}),
    ]);
    for (let i = 0; i < 2; i++) {
      expect(getOutcome(await fixture.acquire('urgent', true))).to.equal('steady');
      expect(getOutcome(await fixture.acquire('standard', false))).to.equal('steady');
    }
    fixture.setTargets([createTarget('cheap', {cheap: true})]);
    expect(getOutcome(await fixture.acquire('urgent', true))).to.equal('noCapacity');
  });

  it('does not let a request with few permitted targets block those queued behind it', async () => {
    // Guards against one request that waits for a full target and blocks the whole queue.
    const fixture = new DispatcherFixture();
    fixture.setTargets([
      createTarget('cheap', {cheap: true, slots: 8}),
      createTarget('steady', {slots: 1}),
    ]);
    expect(getOutcome(await fixture.acquire('urgent', true))).to.equal('steady');
    const waiting = await fixture.acquire('urgent', false);
    expect(waiting).to.deep.equal([]);
    expect(getOutcome(await fixture.acquire('batch', true))).to.equal('cheap');
    expect(waiting).to.deep.equal([]);
  });

  it('sends no new work to a target as soon as it is leaving or draining', async () => {
    // Guards against work sent to a leaving target until some later report.
    const fixture = new DispatcherFixture();
    const targets = [createTarget('one'), createTarget('two')];
    fixture.setTargets(targets);
    fixture.leaving.add('one');
    fixture.dispatcher.applyConfig();
    for (let i = 0; i < 2; i++) {
      const outcomes = await fixture.acquire('urgent', true);
      expect(getOutcome(outcomes)).to.equal('two');
      (outcomes[0] as Dispatch).release('succeeded');
    }
    fixture.setTargets([targets[0], createTarget('two', {state: 'draining'})]);
    expect(getOutcome(await fixture.acquire('urgent', true))).to.equal('noCapacity');
  });

  it('sends work of any class to an idle target with one slot', async () => {
    // Guards against a reservation for urgent work that leaves small targets unused.
    const fixture = new DispatcherFixture();
    fixture.setTargets([createTarget('one', {slots: 1})]);
    expect(getOutcome(await fixture.acquire('batch', true))).to.equal('one');
  });

  it('assigns the slot of a cancelled request to the next one in the queue', async () => {
    // Guards against slots that are never released.
    const fixture = new DispatcherFixture();
    fixture.setTargets([createTarget('one', {slots: 1})]);
    const first = await fixture.acquire('urgent', true);
    const second = await fixture.acquire('urgent', true);
    expect(second).to.deep.equal([]);
    (first[0] as Dispatch).release('cancelled');
    await new Promise(resolve => setImmediate(resolve));
    expect(getOutcome(second)).to.equal('one');
  });
});
