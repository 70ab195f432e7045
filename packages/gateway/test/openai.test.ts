import {expect} from 'chai';
import OpenAI, {APIError} from 'openai';
import {Deployment, startDeployment} from '@radishgw/testkit';

describe('callers with the openai client', () => {
  let deployment: Deployment;
  let client: OpenAI;

  before(async () => {
    deployment = await startDeployment({
      hosts: 1,
      engines: 2,
      services: 1,
      failureDomains: ['norte-bilbo'],
      decodeMsPerToken: 1,
    });
    client = createClient(deployment.key);
  });

  after(() => deployment.stop());

  function createClient(apiKey: string): OpenAI {
    const baseURL = `${deployment.hosts[0].entryUrl}/v1`;
    return new OpenAI({apiKey, baseURL, maxRetries: 0});
  }

  async function catchError(promise: Promise<unknown>): Promise<APIError> {
    return promise.then(
      () => expect.fail('the call was expected to fail'),
      error => error as APIError,
    );
  }

  it('get the complete response of a non-streaming call', async () => {
    // Guards against responses that lose or repeat chunks when they are merged.
    const answer = await client.chat.completions.create({
      model: deployment.model,
      max_tokens: 5,
      messages: [{role: 'user', content: 'Suggest a thread colour.'}],
    });
    expect(answer.choices[0].message.content).to.equal('w0 w1 w2 w3 w4 ');
    expect(answer.usage?.completion_tokens).to.equal(5);
  });

  it('get the same completion as a stream', async () => {
    // Guards against streams that end early, repeat chunks or leak the usage chunk.
    const stream = await client.chat.completions.create({
      model: deployment.model,
      max_tokens: 40,
      stream: true,
      messages: [{role: 'user', content: 'Suggest a thread colour.'}],
    });
    let text = '';
    for await (const chunk of stream) {
      expect(chunk.choices).to.have.length(1);
      text += chunk.choices[0].delta.content ?? '';
    }
    expect(text.trim().split(' ')).to.deep.equal(Array.from({length: 40}, (_, i) => `w${i}`));
  });

  it('list the models of their team', async () => {
    // Guards against a model list with models that the team may not use.
    const models = await client.models.list();
    expect(models.data.map(model => model.id)).to.deep.equal([deployment.model]);
  });

  it('are counted as served when the response is sent at once', async () => {
    // Guards against the host's own responses, without a target, counted as caller disconnects.
    const {entryUrl, operatorUrl} = deployment.hosts[0];
    for (const path of ['/v1/models', '/v1/entry']) {
      const headers = {authorization: `Bearer ${deployment.key}`};
      expect((await fetch(entryUrl + path, {headers})).status).to.equal(200);
    }
    const metrics = await (await fetch(`${operatorUrl}/metrics`)).text();
    expect(metrics).not.to.include('code="outcome_unknown"');
    const labels = `team="${deployment.teamId}",class="standard",resource="none"`;
    expect(metrics).to.match(new RegExp(`radishgw_requests_total{${labels}} [2-9]`));
  });

  it('get 401 for a wrong key and 404 for an unknown model, both "not run"', async () => {
    // Guards against refusals that the client library can't classify.
    const request = {messages: [{role: 'user' as const, content: 'x'}]};
    const wrongKey = createClient(`rk_demo_${'0'.repeat(64)}`);
    const unauthorized = await catchError(
      wrongKey.chat.completions.create({...request, model: deployment.model}),
    );
    expect(unauthorized.status).to.equal(401);
    expect(unauthorized.error).to.include({code: 'invalid_api_key', execution: 'not_run'});
    const unknown = await catchError(client.chat.completions.create({...request, model: 'none'}));
    expect(unknown.status).to.equal(404);
    expect(unknown.error).to.include({code: 'model_not_found', execution: 'not_run'});
  });
});
