import {toId} from '@radishgw/core';
import {expect} from 'chai';
import {RouteName} from '../src/index.js';
import {joinConfig, splitConfig} from '../src/store/shared-config.js';
import {ENGINES, makeConfig, makeRoute, TEAM} from './fixtures.js';

describe('shared configuration', () => {
  const name = toId<RouteName>('a:b');
  const config = {
    ...makeConfig(7, [makeRoute({name}), makeRoute({name, pathPrefix: '/b/'}), makeRoute()]),
    services: new Map([
      [ENGINES, {name: ENGINES, connectionLimit: 8, engine: undefined, scaling: undefined}],
    ]),
    teams: new Map([[TEAM, {id: TEAM, priority: 1, limit: undefined}]]),
    teamsByKey: new Map([
      ['key:1', TEAM],
      ['key:2', TEAM],
    ]),
  };

  it('is the same after it was split and put together', () => {
    // Guards against routes, teams and keys that are lost in transfers between hosts.
    expect(joinConfig(splitConfig(config))).to.deep.equal(config);
  });

  it('has parts with different keys', () => {
    // Guards against a route that replaces another with the same name.
    const keys = splitConfig(config).map(([key]) => key);
    expect(new Set(keys).size).to.equal(keys.length);
  });
});
