import {expect} from 'chai';
import {
  confirmConfig,
  createConfigView,
  createTargetView,
  findRoute,
  Instant,
  isConfigFresh,
  REAPPEARANCE_GRACE_MS,
  TargetEntry,
  TargetView,
  updateTargets,
} from '../src/index.js';
import {makeConfig, makeEntry, makeRoute} from './fixtures.js';

const at = (monotonicMs: number, wallMs = monotonicMs): Instant => ({monotonicMs, wallMs});

describe('configuration view', () => {
  it('keeps the newest version when reads arrive out of order', () => {
    // Guards against a version that is reverted by a slower read.
    const view = createConfigView();
    expect(confirmConfig(view, makeConfig(7), at(100))).to.equal(true);
    expect(confirmConfig(view, makeConfig(5), at(200))).to.equal(false);
    expect(view.config?.version).to.equal(7);
    expect(view.confirmedAt?.monotonicMs).to.equal(100);
  });

  it('is kept, but not confirmed by the older version of a copy of the store', () => {
    // Guards against going back, and against a key that was taken away in the lost seconds.
    const view = createConfigView();
    confirmConfig(view, makeConfig(7), at(100), 1);
    expect(confirmConfig(view, makeConfig(5), at(4000), 2)).to.equal(false);
    expect(view.config?.version).to.equal(7);
    expect(view.awaitsRewrite).to.equal(true);
    expect(isConfigFresh(view, at(6000), 5000)).to.equal(false);
    expect(confirmConfig(view, makeConfig(7), at(6000), 2)).to.equal(false);
    expect(view.awaitsRewrite).to.equal(false);
    expect(isConfigFresh(view, at(6000), 5000)).to.equal(true);
    confirmConfig(view, makeConfig(5), at(7000), 2);
    expect(view.awaitsRewrite).to.equal(false);
  });

  it('is not fresh after a suspension that the monotonic clock does not count', () => {
    // Guards against a revoked key that a host accepts right after a suspension.
    const view = createConfigView();
    confirmConfig(view, makeConfig(1), at(1000, 50_000));
    expect(isConfigFresh(view, at(2000, 51_000), 5000)).to.equal(true);
    expect(isConfigFresh(view, at(2000, 56_000), 5000)).to.equal(false);
  });

  it('is not fresh when the wall clock was set back', () => {
    // Guards against a clock step that extends the use of a revoked key.
    const view = createConfigView();
    confirmConfig(view, makeConfig(1), at(1000, 50_000));
    expect(isConfigFresh(view, at(6000, 49_000), 5000)).to.equal(false);
  });
});

describe('route table', () => {
  it('selects the longest prefix of the same host', () => {
    // Guards against requests that are sent to the service of a less specific route.
    const short = makeRoute({pathPrefix: '/a/'});
    const long = makeRoute({pathPrefix: '/a/b/'});
    const other = makeRoute({pathPrefix: '/a/b/c/', host: 'other.example'});
    const config = makeConfig(1, [short, long, other]);
    expect(findRoute(config, 'Host.Example:80', '/a/b/c/d?x=1')).to.equal(long);
    expect(findRoute(config, 'host.example', '/a/c')).to.equal(short);
    expect(findRoute(config, 'host.example', '/b?p=/a/')).to.equal(undefined);
  });
});

describe('target view', () => {
  const update = (
    view: TargetView,
    entries: readonly TargetEntry[],
    readAtMs: number,
    revision = readAtMs,
  ) => updateTargets(view, {revision, entries}, readAtMs);

  it('keeps entries that are missing after an outage during the grace period', () => {
    // Guards against sending no requests to live targets whose entries expired during the outage.
    const view = createTargetView();
    update(view, [makeEntry('a'), makeEntry('b')], 0);
    view.hasFailedRead = true;
    const back = update(view, [], 5000);
    expect(back.gone).to.have.length(0);
    expect(back.kept.map(entry => entry.id)).to.deep.equal(['a', 'b']);
    for (let nowMs = 5600; nowMs < 5000 + REAPPEARANCE_GRACE_MS; nowMs += 600) {
      const changes = update(view, [makeEntry('a')], nowMs);
      expect(changes.gone).to.have.length(0);
      expect(changes.kept).to.have.length(0);
    }
    const later = update(view, [makeEntry('a')], 5000 + REAPPEARANCE_GRACE_MS);
    expect(later.gone.map(entry => entry.id)).to.deep.equal(['b']);
    expect([...view.targets.keys()]).to.deep.equal(['a']);
  });

  it('removes a missing entry while the store is available', () => {
    // Guards against new requests to a target that has left.
    const view = createTargetView();
    update(view, [makeEntry('a')], 0);
    expect(update(view, [], 600).gone).to.have.length(1);
  });

  it('removes a missing entry after an outage too short for entries to expire', () => {
    // Guards against requests to a target that has left, after a single call without an answer.
    const view = createTargetView();
    update(view, [makeEntry('a')], 0);
    view.hasFailedRead = true;
    expect(update(view, [], 1900).gone).to.have.length(1);
  });

  it('removes a missing entry if the store took writes while this host could not read it', () => {
    // Guards against requests to a target that has left, from a host that the store turns away.
    const view = createTargetView();
    for (let nowMs = 0; nowMs <= 6000; nowMs += 600) {
      update(view, [makeEntry('a'), makeEntry('b')], nowMs, nowMs / 50);
    }
    view.hasFailedRead = true;
    expect(update(view, [makeEntry('a')], 11_000, 11_000 / 50).gone).to.have.length(1);
    view.hasFailedRead = true;
    expect(update(view, [], 16_000, 11_000 / 50 + 40).kept).to.have.length(1);
  });

  it('removes a missing entry after slow reads of a store that is available', () => {
    // Guards against requests to a target that has left, from a host whose reads are slow.
    const view = createTargetView();
    update(view, [makeEntry('a')], 0);
    expect(update(view, [], 2500).gone).to.have.length(1);
  });

  it('does not take back that a target is draining', () => {
    // Guards against requests to a leaving target whose earlier write is carried out late.
    const view = createTargetView();
    update(view, [makeEntry('a', {isDraining: true})], 0);
    update(view, [makeEntry('a')], 600);
    expect([...view.targets.values()].map(entry => entry.isDraining)).to.deep.equal([true]);
    update(view, [makeEntry('a', {bornMs: 2})], 1200);
    expect([...view.targets.values()].map(entry => entry.isDraining)).to.deep.equal([false]);
  });

  it('ignores a list that is older than one from a read that was sent earlier', () => {
    // Guards against a target that returns because a slow read saw its leaving before a fast one.
    const view = createTargetView();
    update(view, [], 0, 20);
    expect(update(view, [makeEntry('a')], 100, 10).added).to.have.length(0);
    expect(update(view, [makeEntry('a')], 50, 30).added).to.have.length(1);
    expect(view.readAtMs).to.equal(50);
  });

  it('treats a restarted target as a new one', () => {
    // Guards against connections and cached parts that outlive a restart.
    const view = createTargetView();
    update(view, [makeEntry('a', {bornMs: 1})], 0);
    const changes = update(view, [makeEntry('a', {bornMs: 2})], 600);
    expect(changes.gone).to.have.length(1);
    expect(changes.added).to.have.length(1);
  });
});
