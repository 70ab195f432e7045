import {createHandlers, RequestId, startTask, toId, VirtualClock} from '@radishgw/core';
import {expect} from 'chai';
import {ClientExchange} from '../src/request/client-exchange.js';
import {RelayDependencies} from '../src/request/request-context.js';
import {serveRequest} from '../src/request/serve-request.js';
import {ENGINES, makeConfig, makeRoute, TEAM} from './fixtures.js';

describe('a request that probes a quarantine', () => {
  it('is released if its client leaves while its quota is taken', async () => {
    // Guards against a quarantine that is never probed again.
    const clock = new VirtualClock();
    const id = toId<RequestId>('r-1');
    const probes = new Set<RequestId>();
    const limit = {costPerSecond: 1, costPerToken: 0, maxBurst: 1};
    const team = {id: TEAM, priority: undefined, limit};
    const config = {
      ...makeConfig(1, [makeRoute()]),
      services: new Map([[ENGINES, {name: ENGINES}]]),
      teams: new Map([[TEAM, team]]),
      teamsByKey: new Map([['key', TEAM]]),
    };
    const deps = {
      clock,
      configView: {config, confirmedAt: {monotonicMs: clock.nowMs(), wallMs: clock.nowMs()}},
      revokeMs: Infinity,
      codec: {readRequest: () => ({requestId: id, apiKey: 'key', promptParts: []})},
      random: {next: () => 0},
      isTooLateToServe: () => false,
      demand: {record: () => undefined},
      quota: {take: () => new Promise(() => undefined)},
      quarantine: {
        admit: () => {
          probes.add(id);
          return {type: 'probe'};
        },
        release: (requestId: RequestId) => void probes.delete(requestId),
      },
      log: {write: () => undefined},
      metrics: {count: () => undefined, observeMs: () => undefined},
    };
    const exchange = {
      method: 'POST',
      host: 'host.example',
      path: '/a/x',
      headers: [],
      body: Buffer.from('body'),
      receivedAt: {monotonicMs: clock.nowMs(), wallMs: 0},
      isFinished: false,
      ageMs: () => 0,
    };
    const procedure = serveRequest(
      deps as unknown as RelayDependencies,
      exchange as unknown as ClientExchange,
    );
    const task = startTask(procedure, createHandlers(clock));
    expect([...probes]).to.deep.equal([id]);
    task.cancel();
    await new Promise(resolve => setImmediate(resolve));
    expect([...probes]).to.deep.equal([]);
  });
});
