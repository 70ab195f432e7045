import {TeamId, toId} from '@radishgw/core';
import {expect} from 'chai';
import {PromptPartId} from '../src/index.js';
import {RequestContent, RequestFingerprint} from '../src/targets/run-identity.js';
import {TEAM} from './fixtures.js';

const CONTENT: RequestContent = {
  team: TEAM,
  method: 'POST',
  host: 'host.example',
  path: '/a/x?y=1',
  body: Buffer.from('a secret body'),
  sharedParts: [toId<PromptPartId>('part')],
};

function digestOf(fields: Partial<RequestContent> = {}): string {
  return new RequestFingerprint({...CONTENT, ...fields}).digest;
}

describe('digest of a request', () => {
  it('is the same for the same team, method, path and body', () => {
    expect(digestOf()).to.equal(digestOf({body: Buffer.from('a secret body')}));
    expect(digestOf()).to.equal(digestOf({host: 'Host.Example'}));
  });

  it('differs if the team, method, path, body or shared part of the prompt differs', () => {
    const others = [
      digestOf({team: toId<TeamId>('other')}),
      digestOf({team: undefined}),
      digestOf({method: 'PUT'}),
      digestOf({host: 'other.example'}),
      digestOf({path: '/a/x?y=2'}),
      digestOf({body: Buffer.from('a secret bodY')}),
      digestOf({body: Buffer.alloc(0)}),
      digestOf({sharedParts: []}),
    ];
    expect(new Set([digestOf(), ...others]).size).to.equal(others.length + 1);
  });

  it('shows nothing of the request and has a fixed length', () => {
    expect(digestOf()).to.match(/^request:13:[\w-]{22}$/);
    expect(digestOf({body: Buffer.alloc(100_000)})).to.match(/^request:100000:[\w-]{22}$/);
  });
});
