import {HostId, Result, SessionId} from '@radishgw/core';

/** Fencing token of a holder of a role or shard, sent with its orders; each claim increments it. */
export type Epoch = number;

/**
 * Reason why a host may not act.
 * - `noSession`: the host has no session at present.
 * - `lapsed`: the session was not renewed within its time to live, by the host's own clock.
 * - `ended`: the session, role or shard was released, or another holder took it over.
 */
export interface AuthorityError {
  readonly kind: 'noSession' | 'lapsed' | 'ended';
  readonly detail: string;
}

/**
 * The right to act as the holder of a role or shard, for one session and one epoch. Once ended, it
 * never becomes valid again.
 *
 * `check()` must be called in the same event loop turn as the send that it guards. It bounds when
 * the send starts, not when the bytes arrive: a process that is suspended between the check and the
 * system call sends late.
 */
export interface Authority {
  readonly hostId: HostId;
  readonly sessionId: SessionId;
  readonly epoch: Epoch;
  /** Returns the epoch while the host may act, otherwise the reason why it may not. */
  check(): Result<Epoch, AuthorityError>;
}
