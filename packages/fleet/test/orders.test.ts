import {expect} from 'chai';
import {Err, FailureDomain, PoolId, toId} from '@radishgw/core';
import {runVirtually} from '@radishgw/coordination/testing';
import {DECODE, ENGINE, OrderFixture, PREFILL} from './order-fixture.js';

describe('EngineOrders', () => {
  it('journals an order, sends it and records it as applied', async () => {
    // Guards against orders that are not in the journal, so that a later holder can't find them.
    const fixture = new OrderFixture();
    const {engines} = fixture.createHolder(7);
    const result = await fixture.finish(engines.reconcile(ENGINE, PREFILL));
    expect(result.ok).to.equal(true);
    expect(fixture.engine.received).to.have.length(1);
    expect(fixture.engine.received[0]).to.include({fencingNumber: 7, role: 'prefill'});
    const entry = fixture.readJournal('orders/engine');
    expect(entry).to.include({status: 'applied', epoch: 7, sequence: 1});
    expect(entry?.orderId).to.equal(fixture.engine.received[0].orderId);
  });

  it('sends nothing when the engine already matches the specification', async () => {
    // Guards against redundant orders, each of which can disturb an engine.
    const fixture = new OrderFixture();
    const {engines} = fixture.createHolder(1);
    await fixture.finish(engines.reconcile(ENGINE, PREFILL));
    await fixture.finish(engines.reconcile(ENGINE, PREFILL));
    expect(fixture.engine.received).to.have.length(1);
  });

  it('orders again when the engine has lost its state', async () => {
    // Guards against an engine that stays unconfigured after a crash.
    const fixture = new OrderFixture();
    const {engines} = fixture.createHolder(1);
    await fixture.finish(engines.reconcile(ENGINE, PREFILL));
    fixture.engine.state = {
      ...fixture.engine.state,
      orderId: null,
      role: 'both',
      modelVersions: [],
    };
    await fixture.finish(engines.reconcile(ENGINE, PREFILL));
    expect(fixture.engine.state.role).to.equal('prefill');
    expect(fixture.engine.received[1].orderId).to.not.equal(fixture.engine.received[0].orderId);
  });

  it('retries an order with unknown outcome under the same id', async () => {
    // Guards against a retry that the engine applies as a second order.
    const fixture = new OrderFixture();
    const {engines} = fixture.createHolder(1);
    fixture.engine.faults.push('lostOrder', 'lostAnswer');
    const result = await fixture.finish(engines.reconcile(ENGINE, PREFILL));
    expect(result.ok).to.equal(true);
    expect(new Set(fixture.engine.received.map(order => order.orderId)).size).to.equal(1);
  });

  it("finishes an earlier holder's order under its id before sending its own", async () => {
    // Guards against an order that is dropped or duplicated at a takeover.
    const fixture = new OrderFixture();
    const first = fixture.createHolder(1);
    const sending = fixture.engine.sendOrder.bind(fixture.engine);
    fixture.engine.sendOrder = async (...args) => {
      first.authority.held = false;
      return sending(...args);
    };
    const lost = await fixture.finish(first.engines.reconcile(ENGINE, PREFILL));
    expect(lost.err && lost.val.kind).to.equal('authorityLost');
    const intended = fixture.readJournal('orders/engine');
    expect(intended).to.include({status: 'intended', epoch: 1});
    expect(fixture.engine.received).to.have.length(0);
    fixture.engine.sendOrder = sending;
    const second = fixture.createHolder(2);
    await fixture.finish(second.engines.reconcile(ENGINE, DECODE));
    expect(fixture.engine.received.map(order => [order.role, order.fencingNumber])).to.deep.equal([
      ['prefill', 2],
      ['decode', 2],
    ]);
    expect(fixture.engine.received[0].orderId).to.equal(intended?.orderId);
  });

  it('waits after a takeover only for engines that ignore fencing numbers', async () => {
    // Guards against an earlier holder's order that arrives after the new holder's order.
    for (const checksFencing of [true, false]) {
      const fixture = new OrderFixture();
      const {engines} = fixture.createHolder(2, checksFencing);
      const task = fixture.start(engines.reconcile(ENGINE, PREFILL));
      await runVirtually(fixture.clock, 3400);
      expect(fixture.engine.received.length > 0).to.equal(checksFencing);
      await runVirtually(fixture.clock, 4000);
      expect(fixture.engine.received).to.have.length(1);
      task.cancel();
    }
  });

  it('does not overwrite a journal entry that another holder has changed', async () => {
    // Guards against an earlier holder that overwrites the order of a later one.
    const fixture = new OrderFixture();
    const old = fixture.createHolder(1);
    await fixture.finish(old.engines.reconcile(ENGINE, PREFILL));
    const successor = fixture.createHolder(2);
    await fixture.finish(successor.engines.reconcile(ENGINE, DECODE));
    const result = await fixture.finish(old.engines.reconcile(ENGINE, {...PREFILL, drain: true}));
    expect(result.err && result.val.kind).to.equal('unavailable');
    expect(fixture.engine.received).to.have.length(2);
  });

  it('records a refused order and continues with the next one', async () => {
    // Guards against an engine that gets no further orders after one that it always refuses.
    const fixture = new OrderFixture();
    const {engines} = fixture.createHolder(1);
    fixture.engine.faults.push('rejected');
    const refused = await fixture.finish(engines.reconcile(ENGINE, PREFILL));
    expect(refused.err && refused.val.kind).to.equal('refused');
    const result = await fixture.finish(engines.reconcile(ENGINE, DECODE));
    expect(result.ok).to.equal(true);
  });

  it('drains an engine until it has no active requests', async () => {
    // Guards against a target that is released while it still serves requests.
    const fixture = new OrderFixture();
    const {engines} = fixture.createHolder(1);
    fixture.engine.state = {...fixture.engine.state, activeRequests: 2};
    const task = fixture.start(engines.drain(ENGINE, PREFILL, () => false));
    await runVirtually(fixture.clock, 5000);
    expect(fixture.engine.state.drain).to.equal(true);
    let finished = false;
    void task.done.then(() => (finished = true));
    await runVirtually(fixture.clock, 10_000);
    expect(finished).to.equal(false);
    fixture.engine.state = {...fixture.engine.state, activeRequests: 0};
    await runVirtually(fixture.clock, 11_000);
    expect(finished).to.equal(true);
  });
});

describe('TargetOrders', () => {
  const count = {
    pool: toId<PoolId>('pool'),
    failureDomain: toId<FailureDomain>('domain-a'),
    cheap: true,
    desiredCount: 4,
  };

  it('orders a count once and retries a lost answer under the same id', async () => {
    // Guards against targets that are ordered and paid for twice.
    const fixture = new OrderFixture();
    const {targets} = fixture.createHolder(3);
    const send = fixture.platform.orderTargets.bind(fixture.platform);
    let sent = 0;
    fixture.platform.orderTargets = async order => {
      const answer = await send(order);
      return sent++ === 0 ? lostAnswer() : answer;
    };
    await fixture.finish(targets.reconcile(count));
    await fixture.finish(targets.reconcile(count));
    const orders = fixture.store.targetOrders.map(({body}) => body);
    expect(orders).to.have.length(2);
    expect(orders[0]).to.deep.equal(orders[1]);
    expect(orders[0]).to.include({desiredCount: 4, cheap: true, fencingNumber: 3});
    expect(fixture.readJournal('fleet/pool/domain-a/cheap')).to.include({status: 'applied'});
  });

  function lostAnswer() {
    return Err({kind: 'outcomeUnknown' as const, detail: 'lost'});
  }
});
