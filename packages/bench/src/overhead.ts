import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import {createSeededRandom, RandomSource} from '@radishgw/core';
import {Child, Deployment, startChild, startDeployment} from '@radishgw/testkit';
import {Agent} from 'undici';
import {Bench, BenchResult, BenchRow} from './bench.js';

const ENGINES = 4;
const OUTPUT_TOKENS = 32;
const CONCURRENCIES = [1, 4, 16, 64];
const ROUNDS = 2;
const CLOSED_LOOP_MS = 900;
const HALF_LOAD_MS = 2500;
const WARM_UP_REQUESTS = 300;
const TICKS_PER_SECOND = 100;
const MIN_THROUGHPUT_RATIO = 0.7;
const MAX_ADDED_P99_MS = 1;

/** A path from the load generator to the engines. */
interface RequestPath {
  readonly name: 'direct' | 'pass-through' | 'radishgw';
  readonly urls: readonly string[];
  readonly headers: Record<string, string>;
  /** The proxy process whose CPU time is measured; undefined for direct requests. */
  readonly child: Child | undefined;
}

/** Latencies and totals of the requests of one measurement. */
interface Sample {
  readonly firstMs: number[];
  readonly totalMs: number[];
  requests: number;
  failures: number;
  cpuSeconds: number;
  elapsedMs: number;
}

/** Returns the CPU time that a process has used since its start; its resolution is 10 ms. */
function readCpuSeconds(child: Child | undefined): number {
  if (!child) return 0;
  const stat = readFileSync(`/proc/${child.pid}/stat`, 'utf8');
  // Fields 14 and 15 are user and system time. Splitting starts after the process name in
  // parentheses because the name may contain spaces.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[11]) + Number(fields[12])) / TICKS_PER_SECOND;
}

function createSample(): Sample {
  return {firstMs: [], totalMs: [], requests: 0, failures: 0, cpuSeconds: 0, elapsedMs: 0};
}

function getQuantile(values: readonly number[], quantile: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(quantile * sorted.length))] ?? NaN;
}

function getMedian(values: readonly number[]): number {
  return getQuantile(values, 0.5);
}

function round(value: number, digits = 2): number {
  return Number(value.toFixed(digits));
}

/** Sends streamed requests over one path and reads each response to its end. */
class Client {
  private readonly agent = new Agent({connections: 128, pipelining: 1});
  private next = 0;

  constructor(
    private readonly path: RequestPath,
    private readonly body: string,
  ) {}

  async send(sample: Sample): Promise<void> {
    const startMs = performance.now();
    const index = this.next++;
    try {
      const response = await this.agent.request({
        origin: this.path.urls[index % this.path.urls.length],
        path: '/v1/chat/completions',
        method: 'POST',
        headers: {
          ...this.path.headers,
          'content-type': 'application/json',
          'x-radishgw-attempt-id': `direct-${index}`,
        },
        body: this.body,
      });
      let firstMs: number | undefined;
      let responseTail = '';
      for await (const chunk of response.body) {
        firstMs ??= performance.now() - startMs;
        responseTail = (responseTail + (chunk as Buffer).toString('latin1')).slice(-32);
      }
      if (response.statusCode !== 200 || !responseTail.includes('[DONE]'))
        throw new Error('response incomplete or with an error status');
      sample.firstMs.push(firstMs ?? 0);
      sample.totalMs.push(performance.now() - startMs);
      sample.requests++;
    } catch {
      sample.failures++;
    }
  }

  close(): Promise<void> {
    return this.agent.destroy();
  }
}

async function measure(
  path: RequestPath,
  sample: Sample,
  run: (sample: Sample) => Promise<void>,
): Promise<void> {
  const cpuBefore = readCpuSeconds(path.child);
  const startMs = performance.now();
  await run(sample);
  sample.elapsedMs += performance.now() - startMs;
  sample.cpuSeconds += readCpuSeconds(path.child) - cpuBefore;
}

/** Keeps `concurrency` requests in flight for {@link CLOSED_LOOP_MS}. */
async function runClosedLoop(client: Client, concurrency: number, sample: Sample): Promise<void> {
  const endMs = performance.now() + CLOSED_LOOP_MS;
  const work = Array.from({length: concurrency}, async () => {
    while (performance.now() < endMs) await client.send(sample);
  });
  await Promise.all(work);
}

/** Sends requests as a Poisson process with a fixed mean rate, regardless of response times. */
async function runOpenLoop(
  client: Client,
  requestsPerSecond: number,
  random: RandomSource,
  sample: Sample,
): Promise<void> {
  const work: Promise<void>[] = [];
  const startMs = performance.now();
  let dueMs = 0;
  while (dueMs < HALF_LOAD_MS) {
    dueMs += (-Math.log(1 - random.next()) * 1000) / requestsPerSecond;
    const waitMs = startMs + dueMs - performance.now();
    if (waitMs > 0.5) await new Promise(resolve => setTimeout(resolve, waitMs));
    work.push(client.send(sample));
  }
  await Promise.all(work);
}

async function startPassThrough(urls: readonly string[]): Promise<{child: Child; url: string}> {
  const script = fileURLToPath(new URL('./pass-through.js', import.meta.url));
  const child = startChild('pass-through', script, urls);
  const lines = createInterface({input: child.process.stdout!});
  const [line] = (await once(lines, 'line')) as [string];
  return {child, url: (JSON.parse(line) as {url: string}).url};
}

interface Measurements {
  /** Samples of the closed loop by concurrency and path. */
  readonly closedLoop: Map<number, Map<RequestPath['name'], Sample>>;
  readonly halfLoad: Map<RequestPath['name'], {p50: number[]; p99: number[]; first99: number[]}>;
  halfRate: number;
}

function getRequestsPerCpuSecond(sample: Sample): number {
  return sample.cpuSeconds > 0 ? sample.requests / sample.cpuSeconds : NaN;
}

async function measureAll(
  paths: readonly RequestPath[],
  body: string,
  seed: number,
): Promise<Measurements> {
  const figures: Measurements = {closedLoop: new Map(), halfLoad: new Map(), halfRate: 0};
  const clients = paths.map(path => ({path, client: new Client(path, body)}));
  for (const {client} of clients) {
    const warmUp = createSample();
    const work = Array.from({length: 16}, async () => {
      while (warmUp.requests + warmUp.failures < WARM_UP_REQUESTS) await client.send(warmUp);
    });
    await Promise.all(work);
  }
  for (let i = 0; i < ROUNDS; i++) {
    for (const concurrency of CONCURRENCIES) {
      const byPath = figures.closedLoop.get(concurrency) ?? new Map<RequestPath['name'], Sample>();
      figures.closedLoop.set(concurrency, byPath);
      for (const {path, client} of clients) {
        const sample = byPath.get(path.name) ?? createSample();
        byPath.set(path.name, sample);
        await measure(path, sample, s => runClosedLoop(client, concurrency, s));
      }
    }
  }
  const highest = Math.max(...CONCURRENCIES);
  figures.halfRate = getRequestsPerCpuSecond(figures.closedLoop.get(highest)!.get('radishgw')!) / 2;
  for (let i = 0; i < ROUNDS; i++) {
    for (const {path, client} of clients) {
      const sample = createSample();
      const random = createSeededRandom(seed + i);
      await runOpenLoop(client, figures.halfRate, random, sample);
      const entry = figures.halfLoad.get(path.name) ?? {p50: [], p99: [], first99: []};
      figures.halfLoad.set(path.name, entry);
      entry.p50.push(getQuantile(sample.totalMs, 0.5));
      entry.p99.push(getQuantile(sample.totalMs, 0.99));
      entry.first99.push(getQuantile(sample.firstMs, 0.99));
    }
  }
  await Promise.all(clients.map(({client}) => client.close()));
  return figures;
}

function describeClosedLoop(figures: Measurements): BenchRow[] {
  return [...figures.closedLoop].flatMap(([concurrency, byPath]) => {
    const direct = byPath.get('direct')!;
    return [...byPath].map(([name, sample]) => ({
      load: `${concurrency} streams`,
      path: name,
      'requests/s': round(sample.requests / (sample.elapsedMs / 1000), 0),
      'requests/s on one core': round(getRequestsPerCpuSecond(sample), 0),
      'added p50 ms': round(getQuantile(sample.totalMs, 0.5) - getQuantile(direct.totalMs, 0.5)),
      'added p99 ms': round(getQuantile(sample.totalMs, 0.99) - getQuantile(direct.totalMs, 0.99)),
      failures: sample.failures,
    }));
  });
}

function describeHalfLoad(figures: Measurements): BenchRow[] {
  const direct = figures.halfLoad.get('direct')!;
  return [...figures.halfLoad].map(([name, entry]) => ({
    load: `half load, ${round(figures.halfRate, 0)}/s`,
    path: name,
    'added p50 ms': round(getMedian(entry.p50) - getMedian(direct.p50)),
    'added p99 ms': round(getMedian(entry.p99) - getMedian(direct.p99)),
    'added first token p99 ms': round(getMedian(entry.first99) - getMedian(direct.first99)),
  }));
}

function describeConclusion(figures: Measurements): string {
  const byPath = figures.closedLoop.get(Math.max(...CONCURRENCIES))!;
  const ratio =
    getRequestsPerCpuSecond(byPath.get('radishgw')!) /
    getRequestsPerCpuSecond(byPath.get('pass-through')!);
  const halfLoad = figures.halfLoad;
  const addedMs = getMedian(halfLoad.get('radishgw')!.p99) - getMedian(halfLoad.get('direct')!.p99);
  const describeResult = (met: boolean) => (met ? 'met' : 'missed');
  return (
    `Throughput on one core is ${round(ratio)} of the bare pass-through's ` +
    `(target ${MIN_THROUGHPUT_RATIO}: ${describeResult(ratio >= MIN_THROUGHPUT_RATIO)}); ` +
    `at half load ${round(addedMs)} ms are added at p99 ` +
    `(target ${MAX_ADDED_P99_MS} ms: ${describeResult(addedMs <= MAX_ADDED_P99_MS)}).`
  );
}

async function run(seed: number): Promise<BenchResult> {
  const deployment: Deployment = await startDeployment({
    hosts: 1,
    engines: ENGINES,
    services: 0,
    failureDomains: ['norte-bilbo'],
    decodeMsPerToken: 1,
    tokensPerSecond: 1e9,
    burstTokens: 1e9,
    hostFlags: ['--log-level', 'warn'],
  });
  const urls = deployment.engines.map(engine => engine.url);
  const passThrough = await startPassThrough(urls);
  const [host] = deployment.hosts;
  const paths: RequestPath[] = [
    {name: 'direct', urls, headers: {}, child: undefined},
    {name: 'pass-through', urls: [passThrough.url], headers: {}, child: passThrough.child},
    {
      name: 'radishgw',
      urls: [host.entryUrl],
      headers: {authorization: `Bearer ${deployment.key}`},
      child: host.child,
    },
  ];
  const body = JSON.stringify({
    model: deployment.model,
    stream: true,
    max_tokens: OUTPUT_TOKENS,
    messages: [{role: 'user', content: 'Check the monogram "AHW" against the gift note.'}],
  });
  try {
    const figures = await measureAll(paths, body, seed);
    return {
      settings: {ENGINES, OUTPUT_TOKENS, CONCURRENCIES, ROUNDS, CLOSED_LOOP_MS, HALF_LOAD_MS},
      rows: [...describeClosedLoop(figures), ...describeHalfLoad(figures)],
      conclusion: describeConclusion(figures),
    };
  } finally {
    await passThrough.child.stop();
    await deployment.stop();
  }
}

/** Compares the request path with direct requests to the engines and with a minimal proxy. */
export const OVERHEAD_BENCH: Bench = {
  description: 'throughput on one core and added latency of the request path',
  run: ({seeds}) => run(seeds[0] ?? 1),
};
