import {
  createSeededRandom,
  FailureDomain,
  RandomSource,
  TargetId,
  Timer,
  toId,
  VirtualClock,
} from '@radishgw/core';
import {
  applyWithdrawal,
  createPreemptibleState,
  decidePreemptibleLimits,
  DEFAULT_PREEMPTIBLE_SETTINGS,
  DomainLoad,
  isPreemptible,
  planWithdrawal,
  PreemptibleLimit,
  PreemptibleState,
  RunningWork,
  WithdrawalAction,
  WorkTraits,
} from '@radishgw/fleet';
import {
  PREEMPTIBLE_FLEET,
  PreemptibleFigures,
  PreemptibleStrategy,
} from './preemptible-settings.js';
import {FIRST_TOKEN_TARGET_MS} from './shift-minutes.js';

interface Target {
  readonly id: TargetId;
  readonly domain: FailureDomain;
  readonly preemptible: boolean;
  isUp: boolean;
  /** False from the withdrawal notice until the target is available again. */
  acceptsRequests: boolean;
  readonly running: Set<Job>;
}

interface Job extends WorkTraits {
  readonly id: string;
  readonly atMs: number;
  readonly serviceMs: number;
  firstStartMs?: number;
  startMs: number;
  target?: Target;
  timer?: Timer;
  isDone: boolean;
}

/** Time after a domain's withdrawal for which on-time starts are also reported separately. */
const AFTER_WITHDRAWAL_MS = 60_000;

/** Fleet of on-demand and preemptible targets with slots, and one FIFO queue for each class. */
export class PreemptibleFleet {
  private readonly random: RandomSource;
  private readonly targets: Target[] = [];
  private readonly queues = {urgent: [] as Job[], standard: [] as Job[], batch: [] as Job[]};
  private readonly jobs: Job[] = [];
  private state: PreemptibleState = createPreemptibleState();
  private limits: ReadonlyMap<FailureDomain, PreemptibleLimit> = new Map();
  private readonly reports: Array<{readonly atMs: number; readonly loads: DomainLoad[]}> = [];
  private readonly totals = {
    workMs: 0,
    preemptibleMs: 0,
    repeatedMs: 0,
    price: 0,
    urgentCut: 0,
    cut: 0,
  };

  constructor(
    private readonly clock: VirtualClock,
    seed: number,
    private readonly strategy: PreemptibleStrategy,
  ) {
    this.random = createSeededRandom(seed);
    strategy.onDemand.forEach((count, domain) => this.addTargets(domain, count, false));
    strategy.preemptible.forEach((count, domain) => this.addTargets(domain, count, true));
  }

  private addTargets(domain: number, count: number, preemptible: boolean): void {
    for (let index = 0; index < count; index++) {
      this.targets.push({
        id: toId<TargetId>(`${preemptible ? 'preemptible' : 'on-demand'}-${domain}-${index}`),
        domain: toId<FailureDomain>(`domain-${domain}`),
        preemptible,
        isUp: true,
        acceptsRequests: true,
        running: new Set(),
      });
    }
  }

  /** Runs the simulation to its end and returns the results. */
  run(): PreemptibleFigures {
    this.scheduleArrival();
    this.scheduleSingleWithdrawal();
    this.scheduleDomainWithdrawals();
    this.decide();
    this.clock.runUntil(PREEMPTIBLE_FLEET.durationMs);
    return this.summarise();
  }

  private scheduleArrival(): void {
    const {serviceMs, work, slotsPerTarget} = PREEMPTIBLE_FLEET;
    const gapMs = serviceMs / (work * slotsPerTarget);
    this.clock.setTimer(-gapMs * Math.log(1 - this.random.next()), () => {
      this.arrive();
      this.scheduleArrival();
    });
  }

  private arrive(): void {
    const {classShares, nonRepeatableShare, serviceMs} = PREEMPTIBLE_FLEET;
    const point = this.random.next();
    const workClass =
      point < classShares.urgent
        ? 'urgent'
        : point < classShares.urgent + classShares.standard
          ? 'standard'
          : 'batch';
    const job: Job = {
      id: `${this.jobs.length}`,
      atMs: this.clock.nowMs(),
      workClass,
      repeatable: this.random.next() >= nonRepeatableShare,
      // Uniform between a third and five thirds of the mean.
      serviceMs: serviceMs * (1 / 3 + (4 / 3) * this.random.next()),
      startMs: 0,
      isDone: false,
    };
    this.jobs.push(job);
    this.queues[workClass].push(job);
    this.dispatch();
  }

  private dispatch(): void {
    for (const queue of [this.queues.urgent, this.queues.standard, this.queues.batch]) {
      // A job without a target doesn't block later ones, which may be allowed on other targets.
      for (let index = 0, misses = 0; index < queue.length && misses < 4;) {
        const target = this.chooseTarget(queue[index]);
        if (target) {
          this.start(queue.splice(index, 1)[0], target);
        } else {
          index++;
          misses++;
        }
      }
    }
  }

  private chooseTarget(job: Job): Target | undefined {
    const available = this.targets.filter(target => target.acceptsRequests && hasFreeSlot(target));
    if (!this.strategy.usesPolicy) return findLeastBusy(available);
    const preemptible = isPreemptible(job)
      ? available.filter(target => this.isWithinLimit(target, job))
      : [];
    const onDemand = available.filter(
      target => !target.preemptible && this.leavesReserve(target, job),
    );
    const preemptibleForAnyClass = isPreemptible(job)
      ? available.filter(target => this.isWithinLimit(target))
      : [];
    return (
      findLeastBusy(preemptible) ?? findLeastBusy(onDemand) ?? findLeastBusy(preemptibleForAnyClass)
    );
  }

  /** Checks the total limit of the target's domain and, for a standard job, the standard limit. */
  private isWithinLimit(target: Target, job?: Job): boolean {
    const limit = target.preemptible ? this.limits.get(target.domain) : undefined;
    if (!limit) return false;
    let all = 0;
    let standard = 0;
    for (const other of this.targets) {
      if (!other.preemptible || other.domain !== target.domain) continue;
      all += other.running.size;
      for (const {workClass} of other.running) if (workClass === 'standard') standard++;
    }
    const {slotsPerTarget} = PREEMPTIBLE_FLEET;
    if (all + 1 > limit.workLimit * slotsPerTarget) return false;
    if (job?.workClass !== 'standard') return true;
    return standard + 1 <= limit.standardWorkLimit * slotsPerTarget;
  }

  /** True unless a preemptible batch job would use the domain's reserved on-demand capacity. */
  private leavesReserve(target: Target, job: Job): boolean {
    if (job.workClass !== 'batch' || !isPreemptible(job)) return true;
    const reserved = this.limits.get(target.domain)?.reservedRoom ?? 0;
    let free = 0;
    for (const other of this.targets) {
      if (other.preemptible || other.domain !== target.domain) continue;
      free += PREEMPTIBLE_FLEET.slotsPerTarget - other.running.size;
    }
    return free - 1 >= reserved * PREEMPTIBLE_FLEET.slotsPerTarget;
  }

  private start(job: Job, target: Target): void {
    job.startMs = this.clock.nowMs();
    job.firstStartMs ??= job.startMs;
    job.target = target;
    target.running.add(job);
    job.timer = this.clock.setTimer(job.serviceMs, () => {
      this.stop(job);
      job.isDone = true;
      this.dispatch();
    });
  }

  /** Removes a job from its target and adds its work to the totals. */
  private stop(job: Job): void {
    const {target} = job;
    if (!target) return;
    target.running.delete(job);
    const workMs = this.clock.nowMs() - job.startMs;
    this.totals.workMs += workMs;
    if (target.preemptible) this.totals.preemptibleMs += workMs;
    job.timer?.cancel();
    job.target = undefined;
  }

  private scheduleSingleWithdrawal(): void {
    const delayMs = -PREEMPTIBLE_FLEET.singleWithdrawalMs * Math.log(1 - this.random.next());
    this.clock.setTimer(delayMs, () => {
      const candidates = this.targets.filter(
        target => target.preemptible && target.acceptsRequests,
      );
      if (candidates.length > 0) {
        const target = candidates[this.random.nextInt(candidates.length)];
        this.withdraw([target], PREEMPTIBLE_FLEET.noticeMs);
      }
      this.scheduleSingleWithdrawal();
    });
  }

  private scheduleDomainWithdrawals(): void {
    PREEMPTIBLE_FLEET.domainWithdrawalsMs.forEach((atMs, index) => {
      this.clock.setTimer(atMs, () => {
        const domain = `domain-${this.random.nextInt(PREEMPTIBLE_FLEET.failureDomains)}`;
        const targets = this.targets.filter(
          target => target.preemptible && target.acceptsRequests && target.domain === domain,
        );
        if (targets.length > 0)
          this.withdraw(targets, index === 0 ? PREEMPTIBLE_FLEET.noticeMs : 0);
      });
    });
  }

  /** Withdraws targets after a notice; they become available again after `returnMs`. */
  private withdraw(targets: readonly Target[], noticeMs: number): void {
    const domain = targets[0].domain;
    const domainTargets = this.targets.filter(
      target => target.preemptible && target.acceptsRequests && target.domain === domain,
    ).length;
    for (const target of targets) target.acceptsRequests = false;
    if (this.strategy.usesPolicy) this.applyPlan(targets, domainTargets, noticeMs);
    this.clock.setTimer(noticeMs, () => {
      for (const target of targets) this.remove(target);
      this.dispatch();
    });
  }

  private applyPlan(targets: readonly Target[], domainTargets: number, noticeMs: number): void {
    const nowMs = this.clock.nowMs();
    const failureDomain = targets[0].domain;
    const notice = {
      failureDomain,
      targetIds: targets.map(({id}) => id),
      domainTargets,
      noticeMs,
    };
    this.state = applyWithdrawal(this.state, notice, DEFAULT_PREEMPTIBLE_SETTINGS, nowMs).state;
    const running = targets.flatMap(target => [...target.running]);
    const {slotsPerTarget} = PREEMPTIBLE_FLEET;
    const works = running.map((job): RunningWork => ({
      workId: job.id,
      workClass: job.workClass,
      repeatable: job.repeatable,
      remainingMs: job.startMs + job.serviceMs - nowMs,
      transferMs: Infinity,
      work: 1 / slotsPerTarget,
    }));
    const free = this.targets
      .filter(target => !target.preemptible && target.acceptsRequests)
      .reduce((sum, target) => sum + slotsPerTarget - target.running.size, 0);
    const plan = planWithdrawal(noticeMs, works, free / slotsPerTarget);
    const jobs = new Map(running.map(job => [job.id, job]));
    for (const {workId, action} of plan.steps) this.applyStep(jobs.get(workId)!, action);
    this.limits = new Map([...this.limits].filter(([domain]) => domain !== failureDomain));
    this.dispatch();
  }

  private applyStep(job: Job, action: WithdrawalAction): void {
    if (action === 'finish' || action === 'leave') return;
    this.requeue(job);
  }

  /** Stops a job and puts it at the head of its queue; its work so far must be repeated. */
  private requeue(job: Job): void {
    this.totals.repeatedMs += this.clock.nowMs() - job.startMs;
    this.stop(job);
    this.queues[job.workClass].unshift(job);
  }

  private remove(target: Target): void {
    target.isUp = false;
    for (const job of [...target.running]) {
      if (job.workClass === 'urgent') this.totals.urgentCut++;
      if (job.repeatable) {
        this.requeue(job);
      } else {
        this.totals.cut++;
        this.stop(job);
      }
    }
    this.clock.setTimer(PREEMPTIBLE_FLEET.returnMs, () => {
      target.isUp = true;
      target.acceptsRequests = true;
      this.dispatch();
    });
  }

  private decide(): void {
    const {decisionIntervalMs, reportLagMs, cheapPrice} = PREEMPTIBLE_FLEET;
    const nowMs = this.clock.nowMs();
    for (const {isUp, preemptible} of this.targets) {
      if (isUp) this.totals.price += (preemptible ? cheapPrice : 1) * decisionIntervalMs;
    }
    this.reports.push({atMs: nowMs, loads: this.sampleLoads()});
    const known = this.reports.filter(({atMs}) => atMs <= nowMs - reportLagMs).at(-1);
    if (this.strategy.usesPolicy && known) {
      const decision = decidePreemptibleLimits(
        this.state,
        known.loads,
        DEFAULT_PREEMPTIBLE_SETTINGS,
        nowMs,
      );
      this.state = decision.state;
      this.limits = new Map(decision.limits.map(limit => [limit.failureDomain, limit]));
    }
    if (this.reports.length > 10) this.reports.shift();
    this.clock.setTimer(decisionIntervalMs, () => this.decide());
    this.dispatch();
  }

  private sampleLoads(): DomainLoad[] {
    const domains = [...new Set(this.targets.map(({domain}) => domain))];
    return domains.map(failureDomain => {
      const load = {
        failureDomain,
        onDemandCapacity: 0,
        onDemandWork: 0,
        onDemandMovableWork: 0,
        preemptibleCapacity: 0,
        preemptibleStandardWork: 0,
        preemptibleBatchWork: 0,
      };
      for (const target of this.targets) {
        if (target.domain !== failureDomain || !target.acceptsRequests) continue;
        const busy = target.running.size / PREEMPTIBLE_FLEET.slotsPerTarget;
        if (!target.preemptible) {
          load.onDemandCapacity++;
          load.onDemandWork += busy;
          const movable = [...target.running].filter(
            job => job.workClass === 'standard' && isPreemptible(job),
          );
          load.onDemandMovableWork += movable.length / PREEMPTIBLE_FLEET.slotsPerTarget;
          continue;
        }
        const batch = [...target.running].filter(job => job.workClass === 'batch').length;
        load.preemptibleCapacity++;
        load.preemptibleBatchWork += batch / PREEMPTIBLE_FLEET.slotsPerTarget;
        load.preemptibleStandardWork += busy - batch / PREEMPTIBLE_FLEET.slotsPerTarget;
      }
      return load;
    });
  }

  private summarise(): PreemptibleFigures {
    const {durationMs, domainWithdrawalsMs, work} = PREEMPTIBLE_FLEET;
    // Jobs of the last minute are left out, as they may not have had time to start.
    const counted = this.jobs.filter(job => job.atMs < durationMs - 60_000);
    const interactive = counted.filter(job => job.workClass !== 'batch');
    const isOnTime = (job: Job) =>
      (job.firstStartMs ?? Infinity) - job.atMs <= FIRST_TOKEN_TARGET_MS;
    const afterWithdrawal = interactive.filter(job =>
      domainWithdrawalsMs.some(atMs => job.atMs >= atMs && job.atMs < atMs + AFTER_WITHDRAWAL_MS),
    );
    const urgent = counted.filter(job => job.workClass === 'urgent');
    return {
      cost: this.totals.price / durationMs / work,
      cheapShare: this.totals.preemptibleMs / this.totals.workMs,
      onTime: interactive.filter(isOnTime).length / interactive.length,
      onTimeAfterLoss: afterWithdrawal.filter(isOnTime).length / afterWithdrawal.length,
      urgentOnTime: urgent.filter(isOnTime).length / urgent.length,
      nonRepeatableCut: this.totals.cut,
      urgentCut: this.totals.urgentCut,
      repeatedShare: this.totals.repeatedMs / this.totals.workMs,
      unfinished: counted.filter(job => job.firstStartMs === undefined).length,
    };
  }
}

function hasFreeSlot(target: Target): boolean {
  return target.running.size < PREEMPTIBLE_FLEET.slotsPerTarget;
}

function findLeastBusy(targets: readonly Target[]): Target | undefined {
  let best: Target | undefined;
  for (const target of targets) {
    if (!best || target.running.size < best.running.size) best = target;
  }
  return best;
}
