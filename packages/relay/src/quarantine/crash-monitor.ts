import {connect} from 'node:net';
import {Clock, EventLog} from '@radishgw/core';
import {RelayMetrics} from '../metrics.js';
import {identityBytes, RunInProgress} from '../targets/run-identity.js';
import {PooledTarget} from '../targets/target-pool.js';

/** Timeout of the connection that tells a crash from a lost connection. */
const PROBE_TIMEOUT_MS = 300;

/** Connections that a target loses within this time are checked once. */
const SAME_LOSS_MS = 20;

/** Time in which a target ends a run whose connection has been closed. */
const CANCELLED_RUN_MS = 500;

/** A check serves the cancelled runs whose time ends within this time after it began. */
const SAME_CANCELLATION_MS = 250;

/** Maximum size of the bodies of cancelled runs that are kept; a body is part of what names a run. */
const MAX_CANCELLED_BYTES = 8 * 1024 * 1024;
const MAX_CANCELLED_RUNS = 1000;

/** Maximum memory of what else identifies the cancelled runs that are kept. */
const MAX_CANCELLED_IDENTITY_BYTES = 4 * 1024 * 1024;

/** Maximum number of runs that are named in the log. */
const MAX_LOGGED_RUNS = 16;

/** Maximum number of parts of one run that are named in the log. */
const MAX_LOGGED_PARTS = 8;

/** A crash of a target and the runs of this host that were in progress there. */
export interface ObservedCrash {
  readonly target: PooledTarget;
  /** Monotonic time at which this host lost its connection. */
  readonly lostMs: number;
  readonly runs: readonly RunInProgress[];
}

/** Dependencies of {@link CrashMonitor}. */
export interface CrashMonitorDependencies {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: RelayMetrics;
  onCrash(crash: ObservedCrash): void;
}

interface Check {
  readonly startedMs: number;
  hasCrashed: boolean;
  readonly result: Promise<boolean>;
}

/** Tells whether a target that has lost the connection of a run has crashed. */
export class CrashMonitor {
  private readonly checks = new WeakMap<PooledTarget, Check>();
  private cancelledCount = 0;
  private cancelledBytes = 0;
  private cancelledIdentityBytes = 0;

  constructor(private readonly deps: CrashMonitorDependencies) {}

  /**
   * Whether a target has crashed that ended a connection with a run in progress: its process is
   * gone and it wasn't leaving. A target that is cut off or silent doesn't refuse connections.
   */
  check(target: PooledTarget): Promise<boolean> {
    return this.checkWithin(target, SAME_LOSS_MS);
  }

  /**
   * Ends a run that this host has cancelled. Its connection is closed, but the target may run it for
   * a while: the run stays in `target.runs` for that time, after which the target is checked. Runs
   * beyond the bounds on what is kept aren't watched.
   */
  watchCancelled(target: PooledTarget, run: RunInProgress): void {
    const {requestId, fingerprint} = run.identity;
    const remove = () => {
      if (target.runs.get(requestId) === run) target.runs.delete(requestId);
    };
    const bytes = this.cancelledBytes + fingerprint.bodyBytes;
    const ownIdentityBytes = identityBytes(run.identity);
    const totalIdentityBytes = this.cancelledIdentityBytes + ownIdentityBytes;
    if (
      bytes > MAX_CANCELLED_BYTES ||
      totalIdentityBytes > MAX_CANCELLED_IDENTITY_BYTES ||
      this.cancelledCount >= MAX_CANCELLED_RUNS
    ) {
      remove();
      return;
    }
    this.cancelledBytes = bytes;
    this.cancelledIdentityBytes = totalIdentityBytes;
    this.cancelledCount++;
    this.deps.clock.setTimer(CANCELLED_RUN_MS, () => {
      this.cancelledBytes -= fingerprint.bodyBytes;
      this.cancelledIdentityBytes -= ownIdentityBytes;
      this.cancelledCount--;
      void this.checkWithin(target, SAME_CANCELLATION_MS);
      remove();
    });
  }

  /** As {@link check}; a check that began at most `maxAgeMs` ago serves as well. */
  private checkWithin(target: PooledTarget, maxAgeMs: number): Promise<boolean> {
    if (target.entry.isDraining) return Promise.resolve(false);
    const nowMs = this.deps.clock.nowMs();
    const earlier = this.checks.get(target);
    if (earlier && (earlier.hasCrashed || nowMs - earlier.startedMs < maxAgeMs)) {
      return earlier.result;
    }
    const runs = [...target.runs.values()];
    const result = isRefused(target.entry.address).then(hasCrashed => {
      check.hasCrashed = hasCrashed && !target.entry.isDraining;
      if (check.hasCrashed) this.report({target, lostMs: nowMs, runs});
      return check.hasCrashed;
    });
    const check: Check = {startedMs: nowMs, hasCrashed: false, result};
    this.checks.set(target, check);
    return result;
  }

  private report(crash: ObservedCrash): void {
    const {log, metrics} = this.deps;
    metrics.count('target_crashes_total');
    log.write('targetCrashed', {
      target: crash.target.entry.id,
      runCount: crash.runs.length,
      runs: crash.runs.slice(-MAX_LOGGED_RUNS).map(({identity}) => ({
        request: identity.requestId,
        digest: identity.fingerprint.digest,
        parts: identity.sharedParts.slice(0, MAX_LOGGED_PARTS),
        partCount: identity.sharedParts.length,
      })),
    });
    this.deps.onCrash(crash);
  }
}

/** Whether nothing listens at an address. */
function isRefused(address: string): Promise<boolean> {
  const {hostname, port} = new URL(`http://${address}`);
  return new Promise(resolve => {
    const socket = connect({host: hostname, port: Number(port || 80)});
    const settle = (result: boolean) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(result);
    };
    const timer = setTimeout(() => settle(false), PROBE_TIMEOUT_MS);
    socket.once('connect', () => settle(false));
    socket.once('error', error => settle((error as NodeJS.ErrnoException).code === 'ECONNREFUSED'));
  });
}
