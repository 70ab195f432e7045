import {once} from 'node:events';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {DEMO_ROUTE, Deployment, startDeployment} from './deployment.js';

const DEMO_MAX_TOKENS = 24;

/** Sends one streaming chat request and prints the response as it arrives. */
async function sendRequest(deployment: Deployment): Promise<void> {
  const response = await fetch(`${deployment.hosts[0].entryUrl}/v1/chat/completions`, {
    method: 'POST',
    headers: {
      'content-type': 'application/json',
      authorization: `Bearer ${deployment.key}`,
    },
    body: JSON.stringify({
      model: deployment.model,
      stream: true,
      max_tokens: DEMO_MAX_TOKENS,
      messages: [{role: 'user', content: 'Check the monogram "AHW" against the gift note.'}],
    }),
  });
  if (!response.ok || !response.body) throw new Error(`chat request got ${response.status}`);
  const decoder = new TextDecoder();
  for await (const chunk of response.body) {
    process.stdout.write(decoder.decode(chunk as Uint8Array, {stream: true}));
  }
}

const args = await yargs(hideBin(process.argv))
  .option('once', {type: 'boolean', default: false, describe: 'Send one request and stop'})
  .option('hosts', {type: 'number', default: 3})
  .strict()
  .parse();

const deployment = await startDeployment({
  hosts: args.hosts,
  engines: 3,
  services: 1,
  failureDomains: ['hobart-a', 'hobart-b', 'kingston'],
  decodeMsPerToken: 10,
});
process.stdout.write(
  JSON.stringify({
    entryUrls: deployment.hosts.map(host => host.entryUrl),
    operatorUrls: deployment.hosts.map(host => host.operatorUrl),
    key: deployment.key,
    model: deployment.model,
    service: DEMO_ROUTE,
  }) + '\n',
);
if (args.once) await sendRequest(deployment);
else await Promise.race([once(process, 'SIGINT'), once(process, 'SIGTERM')]);
await deployment.stop();
process.exit(0);
