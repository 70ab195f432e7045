import {EffectHandlers, Err, Procedure, Result, sleep, startTask, Task} from '@radishgw/core';
import {Authority, AuthorityError, Epoch} from './authority.js';
import {claim, ensureHolderInactive, HolderAuthority, readHolderObject, release} from './holder.js';
import {Membership} from './membership.js';
import {ControlDependencies, HostSession} from './session.js';

/** A control role that at most one host holds at a time. */
export type RoleName = 'fleet' | 'usage';

/** Settings of {@link RoleLease}. */
export interface RoleLeaseSettings {
  readonly role: RoleName;
  /** Time between attempts to claim the role; 1 s by default. */
  readonly pollMs?: number;
  /** Whether this host should claim the role at present; always true by default. */
  readonly isCandidate?: () => boolean;
  /** Runs while the role is held; cancelled when the role is lost or released. */
  readonly work?: (authority: Authority) => Procedure<void>;
}

const DEFAULT_POLL_MS = 1000;

/** Claims a role, runs its work while the role is held, and releases it. */
export class RoleLease {
  private held: HolderAuthority | undefined;
  private workTask: Task<void> | undefined;
  private stopped = false;
  private readonly key: string;
  private readonly pollMs: number;

  constructor(
    private readonly dependencies: ControlDependencies,
    private readonly handlers: EffectHandlers,
    private readonly session: HostSession,
    private readonly membership: Membership,
    private readonly settings: RoleLeaseSettings,
  ) {
    this.key = `roles/${settings.role}`;
    this.pollMs = settings.pollMs ?? DEFAULT_POLL_MS;
    session.onLost(() => this.dropIfLost());
  }

  /** The authority while the role is held. */
  get authority(): Authority | undefined {
    return this.held;
  }

  check(): Result<Epoch, AuthorityError> {
    if (this.held) return this.held.check();
    return Err({kind: 'ended', detail: `role ${this.settings.role} is not held`});
  }

  /** Claims the role whenever its holder can no longer act, until `release()`. */
  *run(): Procedure<void> {
    while (!this.stopped) {
      this.dropIfLost();
      if (!this.held) yield* this.tryClaim();
      yield* sleep(this.pollMs * (0.9 + 0.2 * this.dependencies.random.next()));
    }
  }

  /** Releases the role and stops claiming it; part of a planned stop. */
  *release(): Procedure<void> {
    this.stopped = true;
    const held = this.held;
    if (!held) return;
    this.stopWork();
    yield* release(this.dependencies, this.key, held);
    const {role} = this.settings;
    this.dependencies.log.write('roleReleased', {role, epoch: held.epoch});
  }

  private *tryClaim(): Procedure<void> {
    const {isCandidate = () => true, role} = this.settings;
    if (this.session.check().err || this.session.isLeaving || !isCandidate()) return;
    const object = yield* readHolderObject(this.dependencies, this.key);
    if (!object || !(yield* ensureHolderInactive(this.membership, this.session, object))) return;
    if (this.stopped) return;
    const held = yield* claim(this.dependencies, this.session, object);
    if (!held) return;
    if (this.stopped) return yield* release(this.dependencies, this.key, held);
    this.held = held;
    const {hostId, log} = {hostId: this.session.hostId, log: this.dependencies.log};
    log.write('roleAcquired', {role, epoch: held.epoch, hostId});
    if (this.settings.work) this.workTask = startTask(this.settings.work(held), this.handlers);
  }

  private dropIfLost(): void {
    const held = this.held;
    if (!held) return;
    const checked = held.check();
    if (checked.ok) return;
    held.revoke();
    this.stopWork();
    const {role} = this.settings;
    const reason = checked.val.detail;
    this.dependencies.log.write('roleLost', {role, epoch: held.epoch, reason});
  }

  private stopWork(): void {
    this.held = undefined;
    const task = this.workTask;
    this.workTask = undefined;
    task?.cancel();
  }
}
