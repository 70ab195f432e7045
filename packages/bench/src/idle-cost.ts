import {readFileSync} from 'node:fs';
import {Deployment, startDeployment} from '@radishgw/testkit';
import {request} from 'undici';
import {Bench, BenchRow} from './bench.js';

const HOST_COUNTS = [3, 6, 9];
const SETTLE_MS = 8000;
const MEASURE_MS = 10_000;
const MS_PER_SECOND = 1000;
/** Clock ticks per second of `/proc/<pid>/stat` on Linux. */
const TICKS_PER_SECOND = 100;
const BYTES_PER_MEGABYTE = 1_000_000;

/** Returns the CPU time that a process has used since its start. */
function readCpuMs(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return ((Number(fields[11]) + Number(fields[12])) * MS_PER_SECOND) / TICKS_PER_SECOND;
}

/** Returns the resident memory of a process. */
function readResidentBytes(pid: number): number {
  const match = /VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'));
  return Number(match?.[1] ?? 0) * 1024;
}

async function readCallCount(deployment: Deployment): Promise<number> {
  const response = await request(`${deployment.platformUrl}/record`);
  return ((await response.body.json()) as {callCount: number}).callCount;
}

const delay = (durationMs: number) => new Promise(resolve => setTimeout(resolve, durationMs));

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

async function measure(hostCount: number): Promise<BenchRow> {
  const deployment = await startDeployment({
    hosts: hostCount,
    engines: 3,
    services: 1,
    failureDomains: ['hobart-a', 'hobart-b', 'kingston', 'huonville'],
    decodeMsPerToken: 1,
  });
  try {
    await delay(SETTLE_MS);
    const pids = deployment.hosts.map(host => host.child.pid);
    const cpuBefore = pids.map(readCpuMs);
    const callsBefore = await readCallCount(deployment);
    await delay(MEASURE_MS);
    const cpuMs = pids.map((pid, i) => readCpuMs(pid) - cpuBefore[i]);
    const calls = (await readCallCount(deployment)) - callsBefore;
    const seconds = MEASURE_MS / MS_PER_SECOND;
    return {
      hosts: hostCount,
      cpuMsPerSecond: Number((mean(cpuMs) / seconds).toFixed(1)),
      residentMegabytes: Math.round(mean(pids.map(readResidentBytes)) / BYTES_PER_MEGABYTE),
      platformCallsPerSecond: Number((calls / seconds).toFixed(1)),
    };
  } finally {
    await deployment.stop();
  }
}

/** Measures real host processes while they serve no requests. */
export const IDLE_COST_BENCH: Bench = {
  description: 'CPU, memory and platform calls of idle entry hosts (wall-clock, Linux only)',
  run: async () => {
    const rows: BenchRow[] = [];
    for (const count of HOST_COUNTS) rows.push(await measure(count));
    const cpu = rows.map(row => Number(row.cpuMsPerSecond));
    const slope = (cpu[2] - cpu[0]) / (HOST_COUNTS[2] - HOST_COUNTS[0]);
    return {
      settings: {settleMs: SETTLE_MS, measureMs: MEASURE_MS},
      rows,
      conclusion:
        `Each further host adds ${slope.toFixed(2)} ms/s of CPU to every host; the target is at ` +
        'most 40 ms/s (4% of a core) in all.',
    };
  },
};
