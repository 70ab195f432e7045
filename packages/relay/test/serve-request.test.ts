import {createHandlers, startTask, VirtualClock} from '@radishgw/core';
import {expect} from 'chai';
import {ClientExchange} from '../src/request/client-exchange.js';
import {createConfigView} from '../src/store/config-view.js';
import {RelayDependencies} from '../src/request/request-context.js';
import {serveRequest} from '../src/request/serve-request.js';

describe('a request whose admission fails by a fault of the host', () => {
  it('is refused with a status that says that it has not run', async () => {
    // Guards against a connection that is closed without an answer.
    const clock = new VirtualClock();
    const events: string[] = [];
    let isFirst = true;
    const deps = {
      clock,
      get configView() {
        if (!isFirst) return createConfigView();
        isFirst = false;
        throw new Error('fault');
      },
      codec: {readRequest: () => ({malformed: 'no id'})},
      log: {write: (event: string) => void events.push(event)},
      metrics: {count: () => undefined, observeMs: () => undefined},
    };
    const statuses: number[] = [];
    const exchange = {
      headers: [],
      isFinished: false,
      ageMs: () => 0,
      respond: (status: number) => void statuses.push(status),
    };
    const procedure = serveRequest(
      deps as unknown as RelayDependencies,
      exchange as unknown as ClientExchange,
    );
    await startTask(procedure, createHandlers(clock)).done;
    expect(statuses).to.deep.equal([503]);
    expect(events).to.deep.equal(['invariantViolated', 'requestLost']);
  });
});
