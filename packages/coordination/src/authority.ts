import {HostId, Result, SessionId} from '@radishgw/core';

/** Number of a holder of a role or shard; rises by one with each claim and fences its orders. */
export type Epoch = number;

/**
 * Why a host may not act.
 * - `noSession`: the host has no session at present.
 * - `lapsed`: the session was not renewed within its time to live on the host's own clock.
 * - `ended`: the session, role or shard was given up or taken.
 */
export interface AuthorityError {
  readonly kind: 'noSession' | 'lapsed' | 'ended';
  readonly detail: string;
}

/**
 * The right to act in a role, for one session and one epoch. It ends once and for all.
 *
 * `check()` must be called in the same event loop turn as the send that it covers. It bounds the
 * time at which a send is started, not the time at which the bytes arrive: a process that is
 * suspended between the check and the system call sends late.
 */
export interface Authority {
  readonly hostId: HostId;
  readonly sessionId: SessionId;
  readonly epoch: Epoch;
  /** The epoch while the host may act. */
  check(): Result<Epoch, AuthorityError>;
}
