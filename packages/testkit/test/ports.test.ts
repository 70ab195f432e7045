import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {readFile} from 'node:fs/promises';
import {expect} from 'chai';
import {allocatePorts} from '../src/ports.js';

const COUNT = 20;

describe('ports of the processes of a test', () => {
  it('are none that the kernel assigns', async () => {
    // Guards against hosts that find their port taken when they start.
    const range = await readFile('/proc/sys/net/ipv4/ip_local_port_range', 'utf8');
    const [firstAssigned, lastAssigned] = range.trim().split(/\s+/).map(Number);
    for (const port of await allocatePorts(COUNT)) {
      expect(port < firstAssigned || port > lastAssigned, String(port)).to.equal(true);
    }
  });

  it('differ from those of other test processes', async () => {
    // Guards against tests that read the status of another test's host.
    const module = new URL('../src/ports.js', import.meta.url).href;
    const script = `
      import {allocatePorts} from '${module}';
      console.log((await allocatePorts(${COUNT})).join());
      setInterval(() => {}, 1000);
    `;
    const own = await allocatePorts(COUNT);
    const child = spawn(process.execPath, ['--input-type=module', '-e', script]);
    try {
      const [output] = (await once(child.stdout, 'data')) as [Buffer];
      const others = output.toString().trim().split(',').map(Number);
      expect(others).to.have.length(COUNT);
      expect(own.filter(port => others.includes(port))).to.deep.equal([]);
    } finally {
      child.kill();
    }
  });
});
