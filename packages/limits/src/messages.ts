import {HostId, SessionId, TeamId} from '@radishgw/core';

/** Use of one grant; the amounts are totals for the grant, so a repeated report has no effect. */
export interface GrantReport {
  readonly grantId: string;
  readonly spentTokens: number;
  readonly returnedTokens: number;
  /** Time since the last of the spent tokens was spent, by the host's monotonic clock. */
  readonly spentAgeMs: number;
  /** The host will spend no more of the grant. */
  readonly closed: boolean;
}

/** Part of an estimate that wasn't used, for a charge that an earlier message reported. */
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
  /** Id of the grant that this request asks for, chosen by the host. */
  readonly grantId: string;
  readonly teamId: TeamId;
  /** Tokens without which waiting requests can't run; 0 to ask ahead. */
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
  /** Expected wait for the needed tokens. */
  readonly retryAfterMs: number;
  readonly epoch: number;
  /** Position in the owner's headroom log after the reports took effect. */
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
  /** All reserves after a response with `wantAll` or a change of epoch, else those that changed. */
  readonly reserves: readonly ReserveReport[];
  /** True when `reserves` lists all reserves. */
  readonly complete: boolean;
  /** Refunds of charges to reserves. */
  readonly refunds: readonly Refund[];
  /** The host gave up all reserves of the shard. */
  readonly released: boolean;
}

/** Change of one team's reserve. */
export interface ReserveChange {
  readonly teamId: TeamId;
  readonly addTokens: number;
  /** The host gives back what it holds, by its next report. */
  readonly recall: boolean;
  readonly stamp: number;
}

/** Maps to `ConfirmReserveResponse`. The owner may hold it for up to `confirmHoldMs`. */
export interface ConfirmReserveResponse {
  /** False with the host's epoch: the host has no reserve in this shard and gives up what it holds. */
  readonly accepted: boolean;
  /** 0 when the receiver isn't the owner. */
  readonly epoch: number;
  /** Counted from before the request was sent. */
  readonly validMs: number;
  readonly sequence: number;
  /** The next request must list all reserves, because this one's reports weren't applied. */
  readonly wantAll: boolean;
  readonly changes: readonly ReserveChange[];
}

/** Reserve of one host as known to the owner that stops. */
export interface HandedReserve {
  readonly hostId: HostId;
  readonly sessionId: SessionId;
  readonly heldTokens: number;
  readonly spentTokens: number;
}

/** A host that holds reserves, as known to the owner that stops. */
export interface HandedHolder {
  readonly hostId: HostId;
  /** Undefined when the host hasn't confirmed; its reserves are then counted as full. */
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

/** Maps to `HandOverShardsRequest`; the sender issues nothing for the shard afterwards. */
export interface HandOverShardsRequest {
  readonly hostId: HostId;
  readonly sessionId: SessionId;
  readonly shard: number;
  /** Epoch of the owner that stops. */
  readonly epoch: number;
  readonly buckets: readonly TeamBucketState[];
  /** All hosts that may have reserves. */
  readonly holders: readonly HandedHolder[];
  /** For how long buckets without an entry have refilled from 0, when the state was taken. */
  readonly runningMs: number;
  /** Least time since the state was taken. */
  readonly ageMs: number;
}
