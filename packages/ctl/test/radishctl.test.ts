import {execFile} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import {expect} from 'chai';
import {ListeningServer, startPlatformServer} from '@radishgw/testkit';

const MAIN = fileURLToPath(new URL('../src/main.js', import.meta.url));
const EXAMPLES = ['huon', 'cuentatras'].map(name =>
  fileURLToPath(new URL(`../../../../examples/${name}.yaml`, import.meta.url)),
);

interface Outcome {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

function run(args: readonly string[], env: Record<string, string> = {}): Promise<Outcome> {
  return new Promise(resolve => {
    execFile(
      process.execPath,
      [MAIN, ...args],
      {env: {...process.env, ...env}},
      (error, stdout, stderr) => {
        const code = error ? Number((error as {code?: number}).code) : 0;
        resolve({code, stdout, stderr});
      },
    );
  });
}

describe('radishctl', () => {
  let platform: ListeningServer;
  let env: Record<string, string>;

  beforeEach(async () => {
    platform = await startPlatformServer();
    env = {RADISHCTL_PLATFORM_URL: platform.url, RADISHCTL_OPERATOR: 'tester'};
  });

  afterEach(() => {
    platform.server.closeAllConnections();
    platform.server.close();
  });

  it('accepts the example files', async () => {
    // Guards against examples that no longer match the schema.
    for (const file of EXAMPLES) {
      const outcome = await run(['validate', file]);
      expect(outcome.code, outcome.stderr).to.equal(0);
    }
  });

  it('applies a file once, keeps issued keys and records history', async () => {
    // Guards against an apply that drops keys or writes objects that did not change.
    expect((await run(['apply', EXAMPLES[0]], env)).code).to.equal(0);
    const issued = await run(['key', 'issue', 'returns', '--output', 'json'], env);
    const {keyId, key} = JSON.parse(issued.stdout) as {keyId: string; key: string};
    expect(key).to.match(/^rk_/);
    const again = await run(['apply', EXAMPLES[0], '--output', 'json'], env);
    expect(JSON.parse(again.stdout)).to.deep.equal([]);
    const team = await run(['team', 'returns', '--output', 'json'], env);
    expect(JSON.parse(team.stdout).keys[0].keyId).to.equal(keyId);
    expect((await run(['key', 'withdraw', 'returns', keyId], env)).code).to.equal(0);
    const history = await run(['history', '--output', 'json'], env);
    const records = JSON.parse(history.stdout) as {operator: string}[];
    expect(records.map(record => record.operator)).to.deep.equal(['tester', 'tester', 'tester']);
  });

  it('uses different exit codes for bad usage, missing objects and platform failures', async () => {
    // Guards against scripts that mistake a failed change for an accepted one.
    expect((await run(['status'])).code).to.equal(2);
    expect((await run(['no-such-command'], env)).code).to.equal(2);
    expect((await run(['team', 'missing'], env)).code).to.equal(1);
    const unreachableEnv = {...env, RADISHCTL_PLATFORM_URL: 'http://127.0.0.1:9'};
    const outcome = await run(['key', 'withdraw', 'returns', 'x'], unreachableEnv);
    expect(outcome.code).to.equal(3);
    expect(outcome.stderr.trim().split('\n')).to.have.length(1);
  });
});
