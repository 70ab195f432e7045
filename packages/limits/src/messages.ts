import {HostId, SessionId, TeamId} from '@radishgw/core';

/** Usage of one grant. The amounts are totals for the grant, so a repeated report has no effect. */
export interface GrantReport {
  readonly grantId: string;
  readonly spentTokens: number;
  readonly returnedTokens: number;
  /** Time since tokens were last spent, by the host's monotonic clock. */
  readonly spentAgeMs: number;
  /** The host will spend no more tokens of the grant. */
  readonly closed: boolean;
}

/** Refund of the unused part of an estimate, for a charge that an earlier message reported. */
export interface Refund {
  readonly teamId: TeamId;
  readonly tokens: number;
  /** Stamp from the response to the message that reported the charge. */
  readonly stamp: number;
}

/** Maps to `AcquireGrantRequest`. */
export interface AcquireGrantRequest {
  readonly hostId: HostId;
  readonly sessionId: SessionId;
  readonly shard: number;
  readonly epoch: number;
  /** Id of the requested grant, chosen by the host. */
  readonly grantId: string;
  readonly teamId: TeamId;
  /** Tokens needed to admit the next waiting request; 0 for a prefetch or only reports. */
  readonly neededTokens: number;
  readonly wantedTokens: number;
  readonly reports: readonly GrantReport[];
  readonly refunds: readonly Refund[];
  readonly configRevision: number;
}

/** Maps to `AcquireGrantResponse`. */
export interface AcquireGrantResponse {
  readonly outcome: 'granted' | 'refused' | 'notOwner';
  readonly grantedTokens: number;
  /** Counted from before the request was sent. */
  readonly timeToLiveMs: number;
  /** Expected wait until the needed tokens are available. */
  readonly retryAfterMs: number;
  readonly epoch: number;
  /** Position in the owner's headroom log after the reports were applied. */
  readonly stamp: number;
}

/** State of one team's reserve at a host. */
export interface ReserveReport {
  readonly teamId: TeamId;
  readonly heldTokens: number;
  /** Total spent from this reserve in the session. */
  readonly spentTokens: number;
}

/** Maps to `ConfirmReserveRequest`. */
export interface ConfirmReserveRequest {
  readonly hostId: HostId;
  readonly sessionId: SessionId;
  readonly shard: number;
  readonly epoch: number;
  readonly configRevision: number;
  /** Increases with each request of the session for this shard. */
  readonly sequence: number;
  /** Sequence of the last response of this epoch that the host applied; 0 for none. */
  readonly appliedSequence: number;
  /** All reserves after a response with `wantAll` or a change of epoch, else the changed ones. */
  readonly reserves: readonly ReserveReport[];
  /** True when `reserves` lists all reserves. */
  readonly complete: boolean;
  /** Refunds of charges to reserves. */
  readonly refunds: readonly Refund[];
  /** The host has given up all reserves of the shard. */
  readonly released: boolean;
}

/** Change of one team's reserve. */
export interface ReserveChange {
  readonly teamId: TeamId;
  readonly addTokens: number;
  /** The host must return all tokens of the reserve with its next report. */
  readonly recall: boolean;
  readonly stamp: number;
}

/** Maps to `ConfirmReserveResponse`. The owner may hold it for up to `confirmHoldMs`. */
export interface ConfirmReserveResponse {
  /** If false and `epoch` equals the host's, the host must give up its reserves of the shard. */
  readonly accepted: boolean;
  /** 0 when the receiver isn't the owner. */
  readonly epoch: number;
  /** Counted from before the request was sent. */
  readonly validMs: number;
  readonly sequence: number;
  /** The next request must list all reserves, as the reports of the last one weren't applied. */
  readonly wantAll: boolean;
  readonly changes: readonly ReserveChange[];
}

/** One host's reserve as known to the stopping owner. */
export interface HandedReserve {
  readonly hostId: HostId;
  readonly sessionId: SessionId;
  readonly heldTokens: number;
  readonly spentTokens: number;
}

/** A host that holds reserves, as known to the stopping owner. */
export interface HandedHolder {
  readonly hostId: HostId;
  /** Undefined when the host hasn't confirmed; its reserves then count as full. */
  readonly sessionId: SessionId | undefined;
  readonly lastSequence: number;
}

/** Maps to `TeamBucketState`. */
export interface TeamBucketState {
  readonly teamId: TeamId;
  readonly levelTokens: number;
  readonly outstandingTokens: number;
  readonly reserves: readonly HandedReserve[];
}

/** Maps to `HandOverShardsRequest`. The sender grants no tokens of the shard afterwards. */
export interface HandOverShardsRequest {
  readonly hostId: HostId;
  readonly sessionId: SessionId;
  readonly shard: number;
  /** Epoch of the stopping owner. */
  readonly epoch: number;
  readonly buckets: readonly TeamBucketState[];
  /** All hosts that may hold reserves. */
  readonly holders: readonly HandedHolder[];
  /** Time for which buckets without an entry had refilled from 0 when the state was captured. */
  readonly runningMs: number;
  /** Lower bound of the time since the state was captured. */
  readonly ageMs: number;
}
