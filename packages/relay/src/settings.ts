import {FailureDomain, HostId} from '@radishgw/core';
import {AttemptBudgetSettings} from './attempt-budget.js';
import {LeaseTimes} from './lease.js';

/** An address to listen on. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Settings of an entry host that relays requests. */
export interface RelaySettings {
  readonly hostId: HostId;
  readonly failureDomain: FailureDomain;
  readonly clientAddress: ListenAddress;
  readonly readinessAddress: ListenAddress;
  /** Answers clients that ask which hosts to use; undefined if this host doesn't. */
  readonly directoryAddress: ListenAddress | undefined;
  /** For other hosts, and for metrics. */
  readonly peerAddress: ListenAddress;
  /** Longest time between a withdrawal of a key and its last use. */
  readonly revokeMs: number;
  /** Time between the signal to stop and the end of the process by force. */
  readonly graceMs: number;
  readonly leaseTimes: LeaseTimes;
  readonly extraAttempts: AttemptBudgetSettings;
  readonly usageWindowMs: number;
  /** Longest time for which clients may keep the directory's answer. */
  readonly directoryTtlMs: number;
}
