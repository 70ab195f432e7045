import {expect} from 'chai';
import fc from 'fast-check';
import {createSeededRandom} from '@radishgw/core';
import {
  createLatencyWindow,
  createRetryBudget,
  decideHedge,
  decideRetry,
  recordFirstAttempt,
  recordLatency,
} from '../src/index.js';

const REQUEST = {isIdempotent: true, attempts: 1, deadlineMs: 10_000, hasPartialResponse: false};
const random = createSeededRandom(5);

describe('retry budget', () => {
  it('limits attempts to 1.1 per request at all times', () => {
    // Guards against retry storms, which multiply the load on targets that are already failing.
    fc.assert(
      fc.property(
        fc.array(fc.constantFrom('request', 'retry', 'hedge'), {maxLength: 2000}),
        events => {
          const budget = createRetryBudget();
          let requests = 0;
          let attempts = 0;
          for (const event of events) {
            if (event === 'request') {
              recordFirstAttempt(budget);
              requests++;
              attempts++;
            } else if (event === 'retry') {
              if (decideRetry(budget, REQUEST, 0, random).type === 'retry') attempts++;
            } else {
              const hedged = {...REQUEST, sentAtMs: 0, hasBegun: false};
              if (decideHedge(budget, hedged, 100, 200).type === 'hedge') attempts++;
            }
            expect(attempts).to.be.at.most(requests * 1.1 + 1e-6);
          }
        },
      ),
      {seed: 4, numRuns: 200},
    );
  });

  it('allows one retry per ten requests', () => {
    // Guards against a retry that is denied because of rounding errors in repeated additions.
    const budget = createRetryBudget();
    for (let i = 0; i < 10; i++) recordFirstAttempt(budget);
    expect(decideRetry(budget, REQUEST, 0, random).type).to.equal('retry');
    expect(decideRetry(budget, REQUEST, 0, random)).to.include({reason: 'budgetEmpty'});
  });

  it('never repeats requests that are non-idempotent, partly delivered or expired', () => {
    // Guards against a non-idempotent request that is executed twice (G10 in docs/GUARANTEES.md).
    const budget = createRetryBudget();
    for (let i = 0; i < 1000; i++) recordFirstAttempt(budget);
    const refusals = [
      {...REQUEST, isIdempotent: false},
      {...REQUEST, hasPartialResponse: true},
      {...REQUEST, attempts: 3},
      {...REQUEST, deadlineMs: 0},
    ].map(request => {
      const hedge = decideHedge(budget, {...request, sentAtMs: -500, hasBegun: false}, 100, 0);
      const retry = decideRetry(budget, request, 0, random);
      return [retry.type === 'giveUp' && retry.reason, hedge.type === 'wait' && hedge.reason];
    });
    expect(refusals).to.deep.equal([
      ['mayNotRunTwice', 'mayNotRunTwice'],
      ['partialResponse', 'partialResponse'],
      ['attemptLimit', 'attemptLimit'],
      ['deadline', 'deadline'],
    ]);
    expect(budget.balance).to.equal(10);
  });

  it('hedges only slow requests and reserves part of the budget for retries', () => {
    // Guards against hedges that exhaust the budget that failed requests need.
    const budget = createRetryBudget();
    for (let i = 0; i < 65; i++) recordFirstAttempt(budget);
    const window = createLatencyWindow(1000);
    for (let i = 1; i <= 64; i++) recordLatency(window, i);
    expect(window.hedgeAfterMs).to.equal(61);
    const slow = {...REQUEST, sentAtMs: 0, hasBegun: false};
    expect(decideHedge(budget, slow, window.hedgeAfterMs, 50)).to.include({reason: 'tooEarly'});
    const begun = {...slow, hasBegun: true};
    expect(decideHedge(budget, begun, window.hedgeAfterMs, 70)).to.include({
      reason: 'responseBegan',
    });
    expect(decideHedge(budget, slow, window.hedgeAfterMs, 70).type).to.equal('hedge');
    expect(decideHedge(budget, slow, window.hedgeAfterMs, 70)).to.include({reason: 'budgetEmpty'});
    expect(decideRetry(budget, REQUEST, 70, random).type).to.equal('retry');
  });
});
