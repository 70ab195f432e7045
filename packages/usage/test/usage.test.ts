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
const USAGE = {promptTokens: 10, outputTokens: 5, calls: 1};

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
    stream.append({...USAGE, teamId: TEAM, modelOrRoute: 'm', windowStartMs, sequence});
  }
  return stream;
}

class UsageHarness {
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

  advance(durationMs: number): Promise<void> {
    return runVirtually(this.clock, this.clock.nowMs() + durationMs);
  }

  reportBodies(): UsageReportBody[] {
    return this.store.usageReports.map(({body}) => JSON.parse(body.body) as UsageReportBody);
  }
}

describe('UsageStream', () => {
  it('merges each increment once, whichever push delivers it', () => {
    // Guards against usage that is counted twice because a response was lost and the push repeated.
    const source = createStream([1, 2, 3]);
    const receiver = new UsageStream(HOST, SESSION, 0);
    expect(receiver.merge(source.createPush(0, false))).to.equal(3);
    expect(receiver.merge(source.createPush(0, false))).to.equal(3);
    expect(receiver.incrementsAfter(0)).to.have.length(3);
  });

  it('ignores a push that would leave a gap', () => {
    // Guards against a mark that covers increments which never arrived.
    const source = createStream([1, 2, 3]);
    const receiver = new UsageStream(HOST, SESSION, 0);
    expect(receiver.merge(source.createPush(2, false))).to.equal(0);
    expect(receiver.merge(source.createPush(0, false))).to.equal(3);
  });
});

describe('ShardLedger', () => {
  it('adds late figures to a later window as a correction', () => {
    // Guards against late usage that is dropped, or that changes a frozen window.
    const ledger = new ShardLedger(0);
    ledger.applyFrozen(ledger.collect(START_MS).marks);
    ledger.accept(createStream([1]).createPush(0, false), START_MS + WINDOW_MS);
    const {figures} = ledger.collect(START_MS + WINDOW_MS);
    expect(figures).to.have.length(1);
    expect(figures[0]).to.include({windowStartMs: START_MS, calls: 1});
  });

  it('does not count increments that a previous owner has frozen', () => {
    // Guards against usage that is counted by two successive owners of a shard.
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

  it('does not count increments that are older than the retained marks', () => {
    // Guards against a host that reconnects after hours and forwards copies that were counted.
    const ledger = new ShardLedger(0);
    const nextWindowMs = START_MS + 61 * WINDOW_MS;
    const answer = ledger.accept(createStream([1]).createPush(0, false), nextWindowMs);
    expect(answer.frozenSequence).to.equal(1);
    expect(ledger.collect(nextWindowMs).figures).to.have.length(0);
  });
});

describe('UsageFreezer and UsageReporter', () => {
  it('freezes windows in order and reports the stored bytes once', async () => {
    // Guards against windows that are skipped, reported twice or altered before they are reported.
    const harness = new UsageHarness();
    const freezer = harness.startOwner(1);
    const reporter = new UsageReporter(harness.dependencies(9), createAuthority(4), {
      shardCount: 1,
    });
    harness.start(reporter.run());
    await harness.advance(5000);
    freezer.accept(createStream([1, 2]).createPush(0, false)).unwrap();
    await harness.advance(3 * WINDOW_MS);
    expect(harness.reportBodies().map(({windowStartMs}) => windowStartMs)).to.deep.equal([
      START_MS,
      START_MS + WINDOW_MS,
    ]);
    expect(harness.reportBodies()[0].figures).to.deep.equal([
      {
        teamId: 'team',
        modelOrRoute: 'm',
        windowStartMs: START_MS,
        promptTokens: 20,
        outputTokens: 10,
        calls: 2,
      },
    ]);
    expect(harness.store.usageReports[0].body.fencingNumber).to.equal(4);
  });

  it('adopts a window that a previous owner froze', async () => {
    // Guards against two owners whose contents of a window differ.
    const harness = new UsageHarness();
    const first = harness.startOwner(1);
    const second = harness.startOwner(2);
    await harness.advance(5000);
    first.accept(createStream([1, 2]).createPush(0, false)).unwrap();
    second.accept(createStream([1, 2, 3]).createPush(0, false)).unwrap();
    // The previous owner freezes the first window, which the new one tries to freeze too.
    await harness.advance(1.5 * WINDOW_MS);
    first.removeShard(0);
    await harness.advance(3 * WINDOW_MS);
    harness.start(
      new UsageReporter(harness.dependencies(9), createAuthority(1), {shardCount: 1}).run(),
    );
    await harness.advance(20_000);
    const calls = harness.reportBodies().flatMap(body => body.figures.map(figure => figure.calls));
    expect(calls.reduce((sum, count) => sum + count, 0)).to.equal(3);
  });

  it('reports the same bytes again after a lost response', async () => {
    // Guards against a retry that reports different figures.
    const harness = new UsageHarness();
    const freezer = harness.startOwner(1);
    await harness.advance(5000);
    freezer.accept(createStream([1]).createPush(0, false)).unwrap();
    await harness.advance(2 * WINDOW_MS);
    harness.platform.faults.lostAnswerProbability = 0.5;
    harness.start(
      new UsageReporter(harness.dependencies(9), createAuthority(1), {shardCount: 1}).run(),
    );
    await harness.advance(4 * WINDOW_MS);
    const byWindow = new Map<string, Set<string>>();
    for (const {body} of harness.store.usageReports) {
      byWindow.set(body.windowId, (byWindow.get(body.windowId) ?? new Set()).add(body.body));
    }
    expect(harness.store.usageReports.length).to.be.greaterThan(byWindow.size);
    expect([...byWindow.values()].every(bodies => bodies.size === 1)).to.equal(true);
  });
});

describe('UsageSender', () => {
  it('forwards the increments of a lost host from their copy', async () => {
    // Guards against usage that is lost with the host that served the requests.
    const harness = new UsageHarness();
    const freezer = harness.startOwner(1);
    const copies = new CopyStore();
    await harness.advance(5000);
    copies.accept(createStream([1, 2]).createPush(0, true)).unwrap();
    const meter = new UsageMeter(harness.clock, {
      hostId: OTHER,
      sessionId: SESSION,
      shardOf: () => 0,
    });
    const sender = new UsageSender(
      {push: async (_to, push) => freezer.accept(push)},
      meter,
      copies,
      {
        ownerOf: () => ({hostId: HOST, epoch: 1}),
        copyHost: () => undefined,
        isSessionEnded: () => true,
      },
    );
    harness.start(sender.run());
    harness.start(
      new UsageReporter(harness.dependencies(9), createAuthority(1), {shardCount: 1}).run(),
    );
    await harness.advance(3 * WINDOW_MS);
    expect(harness.reportBodies()[0].figures[0]).to.include({calls: 2});
  });

  it('replicates the copy of a lost host to a second host', async () => {
    // Guards against usage that is lost when the host with the only copy is lost too.
    const harness = new UsageHarness();
    const [copies, otherCopies] = [new CopyStore(), new CopyStore()];
    copies.accept(createStream([1, 2]).createPush(0, true)).unwrap();
    const meter = new UsageMeter(harness.clock, {
      hostId: HOST,
      sessionId: SESSION,
      shardOf: () => 0,
    });
    const sender = new UsageSender(
      {push: async (_to, push) => otherCopies.accept(push)},
      meter,
      copies,
      {ownerOf: () => undefined, copyHost: () => OTHER, isSessionEnded: () => true},
    );
    harness.start(sender.run());
    await harness.advance(2000);
    expect(otherCopies.listStreams().map(stream => stream.lastSequence)).to.deep.equal([2]);
  });

  it('hands over increments and copies before a graceful shutdown', async () => {
    // Guards against shutdowns that lose increments of this host or copies of others.
    const harness = new UsageHarness();
    const [copies, otherCopies] = [new CopyStore(), new CopyStore()];
    copies.accept(createStream([1, 2]).createPush(0, true)).unwrap();
    const sessionId = toId<SessionId>('own');
    const meter = new UsageMeter(harness.clock, {hostId: HOST, sessionId, shardOf: () => 0});
    meter.record(TEAM, 'm', USAGE);
    const sender = new UsageSender(
      {push: async (_to, push) => otherCopies.accept(push)},
      meter,
      copies,
      {
        ownerOf: () => undefined,
        copyHost: () => OTHER,
        isSessionEnded: () => false,
      },
    );
    harness.start(sender.run());
    const task = harness.start(sender.handOver(() => false));
    await harness.advance(3000);
    expect(await task.done).to.equal(true);
    expect(otherCopies.listStreams().map(stream => stream.lastSequence)).to.have.members([1, 2]);
    expect(copies.accept(createStream([1]).createPush(0, true)).err).to.equal(true);
  });
});
