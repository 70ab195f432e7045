import {ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';

/** A child process of a deployment under test. */
export class Child {
  /** Latest lines that the process wrote to standard error; older ones are dropped. */
  readonly logLines: string[] = [];
  private readonly exitCode: Promise<number | null>;

  constructor(
    readonly name: string,
    readonly process: ChildProcess,
  ) {
    this.exitCode = once(process, 'exit').then(([code]) => code as number | null);
    createInterface({input: process.stderr!}).on('line', line => {
      this.logLines.push(line);
      if (this.logLines.length > MAX_LOG_LINES) this.logLines.shift();
    });
  }

  isRunning(): boolean {
    return this.process.exitCode === null && this.process.signalCode === null;
  }

  get pid(): number {
    return this.process.pid!;
  }

  /** Ends the process by a signal; resolves to its exit code, or null if the signal killed it. */
  async stop(signal: NodeJS.Signals = 'SIGTERM'): Promise<number | null> {
    this.process.kill(signal);
    return this.exitCode;
  }

  /** Sends a signal without waiting for an exit, such as SIGSTOP or SIGCONT. */
  signal(signal: NodeJS.Signals): void {
    this.process.kill(signal);
  }
}

const MAX_LOG_LINES = 2000;

/** Starts a Node.js script as a child process. */
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

/** Starts a stand-in as a child process and waits until it prints its URL. */
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

/** Polls the URL until it returns a 2xx status; the caller limits the wait by `signal`. */
export async function waitForUrl(url: string, signal?: AbortSignal): Promise<void> {
  for (;;) {
    signal?.throwIfAborted();
    const ok = await fetch(url).then(
      response => response.ok,
      () => false,
    );
    if (ok) return;
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}

/** Polls `read` until `isDone` accepts its value; the test's own timeout limits the wait. */
export async function waitUntil<T>(
  read: () => Promise<T> | T,
  isDone: (value: T) => boolean,
): Promise<T> {
  for (;;) {
    const value = await read();
    if (isDone(value)) return value;
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}

const POLL_INTERVAL_MS = 25;
