import {createSystemRandom, KeyId, TeamId, toId} from '@radishgw/core';
import {expect} from 'chai';
import fc from 'fast-check';
import {
  BASE_KEY,
  ConfigStore,
  issueKey,
  matchesKey,
  parseDeploymentFile,
  parseKey,
  teamKey,
} from '../src/index.js';

const BASE = {
  schemaVersion: 1,
  templates: [
    {templateId: 'desk', parameters: {models: ['m'], tokensPerSecond: 10, burstTokens: 20}},
  ],
  models: [{model: 'm', pool: 'p', maxOutputTokens: 64}],
  routes: [],
  targets: [],
};

function createTeamJson(tokensPerSecond: number, keys: unknown[] = []) {
  return JSON.stringify({
    schemaVersion: 1,
    teamId: 't',
    template: 'desk',
    parameters: {tokensPerSecond},
    keys,
  });
}

function createStore(): ConfigStore {
  const store = new ConfigStore();
  store.applyEvent({key: BASE_KEY, revision: 1, value: JSON.stringify(BASE), removed: false});
  return store;
}

const TEAM = toId<TeamId>('t');

describe('ConfigStore', () => {
  it('keeps the highest revision of an object in any order of events', () => {
    // Guards against stale reads and slow peers that restore an older configuration.
    fc.assert(
      fc.property(fc.array(fc.integer({min: 2, max: 30}), {minLength: 1}), revisions => {
        const store = createStore();
        for (const revision of revisions) {
          store.applyEvent({
            key: teamKey('t'),
            revision,
            value: createTeamJson(revision),
            removed: false,
          });
        }
        const highest = Math.max(...revisions);
        expect(store.findTeam(TEAM)?.parameters.tokensPerSecond).to.equal(highest);
      }),
      {seed: 7},
    );
  });

  it('ignores an older event of a removed team', () => {
    // Guards against a late event that restores a withdrawn key.
    const store = createStore();
    store.applyEvent({key: teamKey('t'), revision: 5, value: '', removed: true});
    store.applyEvent({key: teamKey('t'), revision: 4, value: createTeamJson(3), removed: false});
    expect(store.findTeam(TEAM)).to.equal(undefined);
  });

  it('resolves team parameters again when their template changes', () => {
    // Guards against teams that keep the parameters of an outdated template.
    const store = createStore();
    store.applyEvent({key: teamKey('t'), revision: 2, value: createTeamJson(3), removed: false});
    expect(store.findTeam(TEAM)?.parameters).to.include({tokensPerSecond: 3, burstTokens: 20});
    const changed = structuredClone(BASE);
    changed.templates[0].parameters.burstTokens = 99;
    const value = JSON.stringify(changed);
    store.applyEvent({key: BASE_KEY, revision: 3, value, removed: false});
    expect(store.findTeam(TEAM)?.parameters).to.include({tokensPerSecond: 3, burstTokens: 99});
  });

  it('rejects an invalid revision and keeps the previous one in force', () => {
    // Guards against an invalid object that makes a team unavailable.
    const store = createStore();
    store.applyEvent({key: teamKey('t'), revision: 2, value: createTeamJson(3), removed: false});
    const outcome = store.applyEvent({
      key: teamKey('t'),
      revision: 3,
      value: createTeamJson(-1),
      removed: false,
    });
    expect(outcome.err).to.equal(true);
    expect(store.findTeam(TEAM)?.parameters.tokensPerSecond).to.equal(3);
    expect(store.listRejected().map(error => error.revision)).to.deep.equal([3]);
  });

  it('finds teams by key until the key is withdrawn', () => {
    // Guards against a key index that still contains a withdrawn key.
    const {record} = issueKey(toId<KeyId>('k1'), createSystemRandom());
    const store = createStore();
    const withKey = createTeamJson(3, [record]);
    store.applyEvent({key: teamKey('t'), revision: 2, value: withKey, removed: false});
    expect(store.findTeamByKey(toId<KeyId>('k1'))?.teamId).to.equal('t');
    store.applyEvent({key: teamKey('t'), revision: 3, value: createTeamJson(3), removed: false});
    expect(store.findTeamByKey(toId<KeyId>('k1'))).to.equal(undefined);
  });

  it('removes objects missing from a newer list and ignores an older list', () => {
    // Guards against removals that are missed while the watch is interrupted.
    const store = createStore();
    store.applyEvent({key: teamKey('t'), revision: 2, value: createTeamJson(3), removed: false});
    const base = {key: BASE_KEY, revision: 1, value: JSON.stringify(BASE)};
    store.applySnapshot({objects: [base], revision: 9});
    expect(store.findTeam(TEAM)).to.equal(undefined);
    const old = {key: teamKey('t'), revision: 2, value: createTeamJson(3)};
    store.applySnapshot({objects: [base, old], revision: 3});
    expect(store.findTeam(TEAM)).to.equal(undefined);
  });
});

describe('keys', () => {
  it('match only their own secret and are stored without it', () => {
    // Guards against digests that ignore part of the secret or the salt and against stored secrets.
    const random = createSystemRandom();
    const first = issueKey(toId<KeyId>('k1'), random);
    const second = issueKey(toId<KeyId>('k1'), random);
    expect(matchesKey(first.record, parseKey(first.text)!.secretHex)).to.equal(true);
    expect(matchesKey(first.record, parseKey(second.text)!.secretHex)).to.equal(false);
    expect(JSON.stringify(first.record)).not.to.include(parseKey(first.text)!.secretHex);
  });

  it('of any other form are rejected without an exception', () => {
    // Guards against untrusted input that makes the parser throw.
    fc.assert(
      fc.property(fc.string(), text => {
        expect(parseKey(text)).to.equal(undefined);
      }),
      {seed: 11},
    );
  });
});

describe('parseDeploymentFile', () => {
  it('reports file, line, path and the expected value', () => {
    // Guards against errors that don't tell operators where in the file they are.
    const text = [
      'schemaVersion: 1',
      'templates: []',
      'models: []',
      'targets: []',
      'teams:',
      '  - teamId: a',
      '    template: missing',
      '    parameters: {tokensPerSecond: 5}',
    ].join('\n');
    const outcome = parseDeploymentFile('x.yaml', text);
    expect(outcome.err && outcome.val).to.deep.equal([
      {
        file: 'x.yaml',
        line: 7,
        path: 'teams.0.template',
        message: 'expected the name of a template, got "missing"',
      },
    ]);
  });

  it('returns issues for any text and never throws', () => {
    // Guards against malformed files that end radishctl with a stack trace.
    fc.assert(
      fc.property(fc.string(), text => {
        expect(parseDeploymentFile('x.yaml', text).err).to.equal(true);
      }),
      {seed: 13},
    );
  });
});
