import {ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';

/** A process of a deployment under test. */
export class Child {
  /** Log lines written to standard error so far; the oldest are dropped. */
  readonly logLines: string[] = [];
  private readonly exited: Promise<number | null>;

  constructor(
    readonly name: string,
    readonly process: ChildProcess,
  ) {
    this.exited = once(process, 'exit').then(([code]) => code as number | null);
    createInterface({input: process.stderr!}).on('line', line => {
      this.logLines.push(line);
      if (this.logLines.length > MAX_LOG_LINES) this.logLines.shift();
    });
  }

  /** Whether the process hasn't ended. */
  isRunning(): boolean {
    return this.process.exitCode === null && this.process.signalCode === null;
  }

  get pid(): number {
    return this.process.pid!;
  }

  /** Sends a signal and, for signals that end the process, waits for its exit code. */
  async stop(signal: NodeJS.Signals = 'SIGTERM'): Promise<number | null> {
    this.process.kill(signal);
    return this.exited;
  }

  /** Sends a signal without waiting, such as SIGSTOP and SIGCONT. */
  signal(signal: NodeJS.Signals): void {
    this.process.kill(signal);
  }
}

const MAX_LOG_LINES = 2000;

/** Starts a Node.js program. */
export function startChild(
  name: string,
  script: string,
  args: readonly string[],
  env: Record<string, string> = {},
): Child {
  const child = spawn(process.execPath, [script, ...args], {
    stdio: ['ignore', 'pipe', 'pipe'],
    env: {...process.env, ...env},
  });
  return new Child(name, child);
}

/** Starts a stand-in as a process of its own and waits for its URL. */
export async function startStandIn(
  name: string,
  kind: 'platform' | 'engine' | 'service',
  args: readonly string[] = [],
): Promise<{child: Child; url: string}> {
  const script = fileURLToPath(new URL('./stand-in.js', import.meta.url));
  const child = startChild(name, script, [kind, ...args]);
  const lines = createInterface({input: child.process.stdout!});
  const [line] = (await once(lines, 'line')) as [string];
  return {child, url: (JSON.parse(line) as {url: string}).url};
}

/** Asks repeatedly until the URL answers with status 200. The caller bounds the whole wait. */
export async function waitForUrl(url: string, signal?: AbortSignal): Promise<void> {
  for (;;) {
    signal?.throwIfAborted();
    const ok = await fetch(url).then(
      response => response.ok,
      () => false,
    );
    if (ok) return;
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
}

/** Repeats a question until its answer is wanted; the test's own timeout bounds the wait. */
export async function waitUntil<T>(
  ask: () => Promise<T> | T,
  isWanted: (answer: T) => boolean,
): Promise<T> {
  for (;;) {
    const answer = await ask();
    if (isWanted(answer)) return answer;
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
}

const POLL_MS = 25;

/** Ports of the loopback interface that were free a moment ago. */
export async function findFreePorts(count: number): Promise<number[]> {
  const {createServer} = await import('node:net');
  const servers = await Promise.all(
    Array.from({length: count}, async () => {
      const server = createServer().listen(0, '127.0.0.1');
      await once(server, 'listening');
      return server;
    }),
  );
  const ports = servers.map(server => (server.address() as {port: number}).port);
  await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
  return ports;
}
