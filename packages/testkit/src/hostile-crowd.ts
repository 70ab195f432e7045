import {once} from 'node:events';
import {readdirSync, readFileSync} from 'node:fs';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import {Child, startChild} from './child.js';
import {CrowdName, HostileTarget} from './hostile-clients.js';

/** Starts a crowd in a process of its own; resolves when it has sent all that is read. */
export async function startCrowd(name: CrowdName, target: HostileTarget): Promise<Child> {
  const script = fileURLToPath(new URL('./hostile-clients-main.js', import.meta.url));
  const child = startChild('hostile clients', script, [name, JSON.stringify(target)]);
  await once(createInterface({input: child.process.stdout!}), 'line');
  return child;
}

/** Greatest resident memory that a process has had, in MiB. */
export function readPeakMemoryMib(pid: number): number {
  const match = /VmHWM:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'));
  return Number(match![1]) / 1024;
}

/** Number of descriptors that a process has open. */
export function countDescriptors(pid: number): number {
  return readdirSync(`/proc/${pid}/fd`).length;
}
