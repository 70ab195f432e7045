import {ConfigStore, TargetConfig} from '@radishgw/config';
import {Procedure} from '@radishgw/core';
import {Dispatch, Dispatcher, DispatchRequest} from './ports.js';
import {Refusal} from './refusal.js';

/** Chooses the active target of the pool with the fewest requests of this host in flight. */
export class LocalDispatcher implements Dispatcher {
  private readonly inFlight = new Map<string, number>();

  constructor(private readonly config: ConfigStore) {}

  // eslint-disable-next-line require-yield
  *acquire(request: DispatchRequest): Procedure<Dispatch> {
    const target = this.choose(request);
    if (!target) throw new Refusal('noCapacity', `pool "${request.pool}" has no target`);
    this.add(target, 1);
    let released = false;
    return {
      target,
      reportProgress: () => undefined,
      release: () => {
        if (!released) this.add(target, -1);
        released = true;
      },
    };
  }

  allowRetry(): boolean {
    return true;
  }

  private choose(request: DispatchRequest): TargetConfig | undefined {
    let best: TargetConfig | undefined;
    for (const target of this.config.getTargets(request.pool)) {
      if (target.state !== 'active' || request.excluded.has(target.targetId)) continue;
      if (!best || this.getInFlight(target) < this.getInFlight(best)) best = target;
    }
    return best && this.getInFlight(best) < best.slots ? best : undefined;
  }

  private getInFlight(target: TargetConfig): number {
    return this.inFlight.get(target.targetId) ?? 0;
  }

  private add(target: TargetConfig, change: number): void {
    this.inFlight.set(target.targetId, this.getInFlight(target) + change);
  }
}
