import {expect} from 'chai';
import {
  createHandlers,
  createSeededRandom,
  HostId,
  Ok,
  Procedure,
  Result,
  SessionId,
  SILENT_LOG,
  startTask,
  TeamId,
  toId,
  VirtualClock,
} from '@radishgw/core';
import {Authority, AuthorityError} from '@radishgw/coordination';
import {MemoryPlatform, MemoryStore, runVirtually} from '@radishgw/coordination/testing';
import {
  CopyStore,
  ShardLedger,
  UsageFreezer,
  UsageMeter,
  UsageReporter,
  UsageReportBody,
  UsageSender,
  UsageStream,
  WINDOW_MS,
} from '../src/index.js';

const HOST = toId<HostId>('host');
const OTHER = toId<HostId>('other');
const SESSION = toId<SessionId>('session');
const TEAM = toId<TeamId>('team');
const START_MS = Date.UTC(2026, 0, 1);
const USE = {promptTokens: 10, outputTokens: 5, calls: 1};

function createAuthority(epoch: number): Authority {
  const authority = {
    hostId: HOST,
    sessionId: SESSION,
    epoch,
    check: (): Result<number, AuthorityError> => Ok(epoch),
  };
  return authority;
}

function createStream(sequences: readonly number[], windowStartMs = START_MS): UsageStream {
  const stream = new UsageStream(HOST, SESSION, 0);
  for (const sequence of sequences) {
    stream.append({...USE, teamId: TEAM, modelOrRoute: 'm', windowStartMs, sequence});
  }
  return stream;
}

class UsageRig {
  readonly clock = new VirtualClock(new Date(START_MS));
  readonly store = new MemoryStore(this.clock);
  readonly platform = new MemoryPlatform({
    store: this.store,
    clock: this.clock,
    random: createSeededRandom(1),
  });

  dependencies(seed: number) {
    const {platform, clock} = this;
    return {platform, clock, random: createSeededRandom(seed), log: SILENT_LOG};
  }

  start<T>(procedure: Procedure<T>) {
    return startTask(procedure, createHandlers(this.clock));
  }

  startOwner(epoch: number): UsageFreezer {
    const freezer = new UsageFreezer(this.dependencies(epoch));
    freezer.addShard(0, createAuthority(epoch));
    this.start(freezer.run());
    return freezer;
  }

  pass(durationMs: number): Promise<void> {
    return runVirtually(this.clock, this.clock.nowMs() + durationMs);
  }

  bodies(): UsageReportBody[] {
    return this.store.usageReports.map(({body}) => JSON.parse(body.body) as UsageReportBody);
  }
}

describe('UsageStream', () => {
  it('takes each increment once, whichever push brings it', () => {
    // Guards against use that is counted twice after a lost answer.
    const source = createStream([1, 2, 3]);
    const receiver = new UsageStream(HOST, SESSION, 0);
    expect(receiver.merge(source.createPush(0, false))).to.equal(3);
    expect(receiver.merge(source.createPush(0, false))).to.equal(3);
    expect(receiver.after(0)).to.have.length(3);
  });

  it('does not take a push that leaves a gap', () => {
    // Guards against a mark that counts increments which never arrived.
    const source = createStream([1, 2, 3]);
    const receiver = new UsageStream(HOST, SESSION, 0);
    expect(receiver.merge(source.createPush(2, false))).to.equal(0);
    expect(receiver.merge(source.createPush(0, false))).to.equal(3);
  });
});

describe('ShardLedger', () => {
  it('puts late figures into a later window as a correction', () => {
    // Guards against late use that is dropped, or that changes a frozen window.
    const ledger = new ShardLedger(0);
    ledger.applyFrozen(ledger.collect(START_MS).marks);
    ledger.accept(createStream([1]).createPush(0, false), START_MS + WINDOW_MS);
    const {figures} = ledger.collect(START_MS + WINDOW_MS);
    expect(figures).to.have.length(1);
    expect(figures[0]).to.include({windowStartMs: START_MS, calls: 1});
  });

  it('does not count what a frozen window of an earlier owner counts', () => {
    // Guards against use that is counted by two owners of a shard.
    const first = new ShardLedger(0);
    const source = createStream([1, 2]);
    first.accept(source.createPush(0, false), START_MS);
    const {marks} = first.collect(START_MS);
    const second = new ShardLedger(0);
    second.accept(source.createPush(0, false), START_MS);
    second.applyFrozen(marks);
    expect(second.collect(START_MS + WINDOW_MS).figures).to.have.length(0);
    const answer = second.accept(source.createPush(0, false), START_MS + WINDOW_MS);
    expect(answer).to.deep.equal({acknowledgedSequence: 2, frozenSequence: 2});
  });

  it('refuses increments that are older than the marks it keeps', () => {
    // Guards against a host that returns after hours and passes on copies that were counted.
    const ledger = new ShardLedger(0);
    const nextWindowMs = START_MS + 61 * WINDOW_MS;
    const answer = ledger.accept(createStream([1]).createPush(0, false), nextWindowMs);
    expect(answer.frozenSequence).to.equal(1);
    expect(ledger.collect(nextWindowMs).figures).to.have.length(0);
  });
});

describe('UsageFreezer and UsageReporter', () => {
  it('freezes windows in order and reports the stored bytes once', async () => {
    // Guards against windows that are skipped, reported twice or altered on the way.
    const rig = new UsageRig();
    const freezer = rig.startOwner(1);
    const reporter = new UsageReporter(rig.dependencies(9), createAuthority(4), {shardCount: 1});
    rig.start(reporter.run());
    await rig.pass(5000);
    freezer.accept(createStream([1, 2]).createPush(0, false)).unwrap();
    await rig.pass(3 * WINDOW_MS);
    expect(rig.bodies().map(({windowStartMs}) => windowStartMs)).to.deep.equal([
      START_MS,
      START_MS + WINDOW_MS,
    ]);
    expect(rig.bodies()[0].figures).to.deep.equal([
      {
        teamId: 'team',
        modelOrRoute: 'm',
        windowStartMs: START_MS,
        promptTokens: 20,
        outputTokens: 10,
        calls: 2,
      },
    ]);
    expect(rig.store.usageReports[0].body.fencingNumber).to.equal(4);
  });

  it('keeps to the window that an earlier owner froze', async () => {
    // Guards against two owners whose windows differ.
    const rig = new UsageRig();
    const first = rig.startOwner(1);
    const second = rig.startOwner(2);
    await rig.pass(5000);
    first.accept(createStream([1, 2]).createPush(0, false)).unwrap();
    second.accept(createStream([1, 2, 3]).createPush(0, false)).unwrap();
    // The earlier owner freezes the first window, which the later one tries to freeze too.
    await rig.pass(1.5 * WINDOW_MS);
    first.removeShard(0);
    await rig.pass(3 * WINDOW_MS);
    rig.start(new UsageReporter(rig.dependencies(9), createAuthority(1), {shardCount: 1}).run());
    await rig.pass(20_000);
    const calls = rig.bodies().flatMap(body => body.figures.map(figure => figure.calls));
    expect(calls.reduce((sum, count) => sum + count, 0)).to.equal(3);
  });

  it('reports the same bytes again after a lost answer', async () => {
    // Guards against a retry with other figures.
    const rig = new UsageRig();
    const freezer = rig.startOwner(1);
    await rig.pass(5000);
    freezer.accept(createStream([1]).createPush(0, false)).unwrap();
    await rig.pass(2 * WINDOW_MS);
    rig.platform.faults.lostAnswerProbability = 0.5;
    rig.start(new UsageReporter(rig.dependencies(9), createAuthority(1), {shardCount: 1}).run());
    await rig.pass(4 * WINDOW_MS);
    const byWindow = new Map<string, Set<string>>();
    for (const {body} of rig.store.usageReports) {
      byWindow.set(body.windowId, (byWindow.get(body.windowId) ?? new Set()).add(body.body));
    }
    expect(rig.store.usageReports.length).to.be.greaterThan(byWindow.size);
    expect([...byWindow.values()].every(bodies => bodies.size === 1)).to.equal(true);
  });
});

describe('UsageSender', () => {
  it('passes the increments of a lost host on from its copy', async () => {
    // Guards against use that is lost with the host that served it.
    const rig = new UsageRig();
    const freezer = rig.startOwner(1);
    const copies = new CopyStore();
    await rig.pass(5000);
    copies.accept(createStream([1, 2]).createPush(0, true)).unwrap();
    const meter = new UsageMeter(rig.clock, {hostId: OTHER, sessionId: SESSION, shardOf: () => 0});
    const sender = new UsageSender(
      {push: async (_to, push) => freezer.accept(push)},
      meter,
      copies,
      {
        ownerOf: () => ({hostId: HOST, epoch: 1}),
        copyHost: () => undefined,
        isSessionOver: () => true,
      },
    );
    rig.start(sender.run());
    rig.start(new UsageReporter(rig.dependencies(9), createAuthority(1), {shardCount: 1}).run());
    await rig.pass(3 * WINDOW_MS);
    expect(rig.bodies()[0].figures[0]).to.include({calls: 2});
  });

  it('keeps the copy of a lost host on a second host', async () => {
    // Guards against use that is lost when the host with the last copy is lost too.
    const rig = new UsageRig();
    const [copies, elsewhere] = [new CopyStore(), new CopyStore()];
    copies.accept(createStream([1, 2]).createPush(0, true)).unwrap();
    const meter = new UsageMeter(rig.clock, {hostId: HOST, sessionId: SESSION, shardOf: () => 0});
    const sender = new UsageSender(
      {push: async (_to, push) => elsewhere.accept(push)},
      meter,
      copies,
      {ownerOf: () => undefined, copyHost: () => OTHER, isSessionOver: () => true},
    );
    rig.start(sender.run());
    await rig.pass(2000);
    expect(elsewhere.all().map(stream => stream.lastSequence)).to.deep.equal([2]);
  });

  it('hands increments and copies over before a planned stop', async () => {
    // Guards against planned stops that lose figures, of this host or of others.
    const rig = new UsageRig();
    const [copies, elsewhere] = [new CopyStore(), new CopyStore()];
    copies.accept(createStream([1, 2]).createPush(0, true)).unwrap();
    const sessionId = toId<SessionId>('own');
    const meter = new UsageMeter(rig.clock, {hostId: HOST, sessionId, shardOf: () => 0});
    meter.record(TEAM, 'm', USE);
    const sender = new UsageSender(
      {push: async (_to, push) => elsewhere.accept(push)},
      meter,
      copies,
      {
        ownerOf: () => undefined,
        copyHost: () => OTHER,
        isSessionOver: () => false,
      },
    );
    rig.start(sender.run());
    const task = rig.start(sender.handOver(() => false));
    await rig.pass(3000);
    expect(await task.done).to.equal(true);
    expect(elsewhere.all().map(stream => stream.lastSequence)).to.have.members([1, 2]);
    expect(copies.accept(createStream([1]).createPush(0, true)).err).to.equal(true);
  });
});
