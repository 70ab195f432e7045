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

function target(targetId: string, changes: Partial<TargetConfig> = {}): TargetConfig {
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

class Rig {
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

  /** Asks for a place; the list gets the dispatch or the refusal's name when it is decided. */
  async ask(workClass: WorkClass, repeatable: boolean): Promise<(Dispatch | string)[]> {
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
    const decided: (Dispatch | string)[] = [];
    const task = startTask(this.dispatcher.acquire(request), createHandlers(this.clock));
    task.done.then(
      dispatch => dispatch && decided.push(dispatch),
      error => decided.push(String((error as {refusalName?: string}).refusalName)),
    );
    await new Promise(resolve => setImmediate(resolve));
    return decided;
  }
}

function nameOf(decided: readonly (Dispatch | string)[]): string | undefined {
  const [first] = decided;
  return typeof first === 'object' ? first.target.targetId : first;
}

describe('PoolDispatcher', () => {
  it('sends neither urgent nor non-idempotent work to cheap targets', async () => {
    // Guards against work that is lost with a target which is reclaimed at a few seconds' notice.
    const rig = new Rig();
    rig.setTargets([target('cheap', {cheap: true, slots: 50}), target('steady', {slots: 8})]);
    for (let i = 0; i < 2; i++) {
      expect(nameOf(await rig.ask('urgent', true))).to.equal('steady');
      expect(nameOf(await rig.ask('standard', false))).to.equal('steady');
    }
    rig.setTargets([target('cheap', {cheap: true})]);
    expect(nameOf(await rig.ask('urgent', true))).to.equal('noCapacity');
  });

  it('does not let work that only some targets may take block the work behind it', async () => {
    // Guards against one request that waits for a full target and stops the whole queue.
    const rig = new Rig();
    rig.setTargets([target('cheap', {cheap: true, slots: 8}), target('steady', {slots: 1})]);
    expect(nameOf(await rig.ask('urgent', true))).to.equal('steady');
    const waiting = await rig.ask('urgent', false);
    expect(waiting).to.deep.equal([]);
    expect(nameOf(await rig.ask('batch', true))).to.equal('cheap');
    expect(waiting).to.deep.equal([]);
  });

  it('gives no new work to a target from the turn in which it leaves or drains', async () => {
    // Guards against work for a leaving target until some later report.
    const rig = new Rig();
    const targets = [target('one'), target('two')];
    rig.setTargets(targets);
    rig.leaving.add('one');
    rig.dispatcher.applyConfig();
    for (let i = 0; i < 2; i++) {
      const decided = await rig.ask('urgent', true);
      expect(nameOf(decided)).to.equal('two');
      (decided[0] as Dispatch).release('succeeded');
    }
    rig.setTargets([targets[0], target('two', {state: 'draining'})]);
    expect(nameOf(await rig.ask('urgent', true))).to.equal('noCapacity');
  });

  it('gives a target with one slot any kind of work while it is idle', async () => {
    // Guards against a reserve for urgent work that leaves small targets unused.
    const rig = new Rig();
    rig.setTargets([target('one', {slots: 1})]);
    expect(nameOf(await rig.ask('batch', true))).to.equal('one');
  });

  it('frees the place of a caller that has gone, and hands it to the next', async () => {
    // Guards against places that stay taken for ever.
    const rig = new Rig();
    rig.setTargets([target('one', {slots: 1})]);
    const first = await rig.ask('urgent', true);
    const second = await rig.ask('urgent', true);
    expect(second).to.deep.equal([]);
    (first[0] as Dispatch).release('cancelled');
    await new Promise(resolve => setImmediate(resolve));
    expect(nameOf(second)).to.equal('one');
  });
});
