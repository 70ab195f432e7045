import {CrowdName, HostileTarget, sendCrowd} from './hostile-clients.js';

// Runs in a process of its own, so that the event loop of the test isn't slowed by the crowd. Keeps
// the connections open until the process is ended.
const [name, target] = process.argv.slice(2);
await sendCrowd(name as CrowdName, JSON.parse(target) as HostileTarget);
process.stdout.write('sent\n');
setInterval(() => undefined, 1000);
