import {FailureDomain, HostId} from '@radishgw/core';
import {AttemptBudgetSettings} from './request/attempt-budget.js';
import {LeaseTimes} from './store/lease.js';
import {QuotaBounds} from './quota/team-quota.js';

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
  /** Address of the host directory for clients; undefined if this host doesn't serve it. */
  readonly directoryAddress: ListenAddress | undefined;
  /** Address for other hosts and for metrics. */
  readonly peerAddress: ListenAddress;
  /** Share of a processor that the host may use, above 1 with several; undefined if unknown. */
  readonly processorCapacity?: number;
  /** Maximum time between the revocation of an API key and its last use. */
  readonly revokeMs: number;
  /**
   * Time within which a change of the configuration or a target that leaves must be obeyed;
   * undefined for the shortest that is supported.
   */
  readonly changeBoundMs?: number;
  /** Time between the stop signal and the forced end of the process. */
  readonly graceMs: number;
  readonly leaseTimes: LeaseTimes;
  readonly attemptBudget: AttemptBudgetSettings;
  /** What may be granted beyond the rate and burst of a team, over all hosts. */
  readonly quotaBounds: QuotaBounds;
  /**
   * Whether targets are chosen by the expected work or by used slots; undefined to decide it for each
   * service, by whether its targets report slowdowns.
   */
  readonly placement?: 'work' | 'slots';
  readonly usageWindowMs: number;
  /** Maximum time for which clients may cache a directory answer. */
  readonly directoryTtlMs: number;
}
