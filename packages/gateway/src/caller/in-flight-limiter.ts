import {Team} from '@radishgw/config';
import {Refusal} from '../request/refusal.js';

const RETRY_AFTER_MS = 1000;

/** Limits the requests in flight at this host, in total and per team. */
export class InFlightLimiter {
  private total = 0;
  private readonly byTeam = new Map<string, number>();
  private readonly idleCallbacks: (() => void)[] = [];

  constructor(private readonly maxTotal: number) {}

  getTotal(): number {
    return this.total;
  }

  /** Counts a request; false if the host's limit is reached. */
  tryAcquire(): boolean {
    if (this.total >= this.maxTotal) return false;
    this.total++;
    return true;
  }

  release(): void {
    this.total--;
    if (this.total > 0) return;
    for (const callback of this.idleCallbacks.splice(0)) callback();
  }

  /** Counts a request of a team; throws a refusal if the team's limit is reached. */
  acquireTeam(team: Team): void {
    const count = this.byTeam.get(team.teamId) ?? 0;
    const {maxInFlight} = team.parameters;
    if (count >= maxInFlight) {
      const message = `team "${team.teamId}" has ${count} requests in flight at this host`;
      throw new Refusal('tooManyRequestsInFlight', message, 'not_run', RETRY_AFTER_MS);
    }
    this.byTeam.set(team.teamId, count + 1);
  }

  releaseTeam(team: Team): void {
    const count = (this.byTeam.get(team.teamId) ?? 1) - 1;
    if (count > 0) this.byTeam.set(team.teamId, count);
    else this.byTeam.delete(team.teamId);
  }

  /** Creates the refusal of a request above the host's limit. */
  createRefusal(): Refusal {
    const message = `${this.maxTotal} requests are in flight at this host`;
    return new Refusal('tooManyRequestsInFlight', message, 'not_run', RETRY_AFTER_MS);
  }

  /** Resolves when no request is in flight. */
  waitUntilIdle(): Promise<void> {
    if (this.total === 0) return Promise.resolve();
    return new Promise(resolve => {
      this.idleCallbacks.push(resolve);
    });
  }
}
