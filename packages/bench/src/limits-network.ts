import {HostId, RandomSource, VirtualClock} from '@radishgw/core';

/** Delay and loss of messages in a {@link NetworkModel}. */
export interface NetworkOptions {
  readonly minDelayMs: number;
  readonly maxDelayMs: number;
  readonly lossFraction: number;
  /** Fraction of messages that are delayed by up to `lateDelayMs`. */
  readonly lateFraction: number;
  readonly lateDelayMs: number;
}

/** Simulated network between hosts and the platform, in virtual time. */
export class NetworkModel {
  /** Number of messages sent between different hosts. */
  messages = 0;
  /** Blocked paths as `from>to`; `platform` stands for the store. */
  private readonly blocked = new Set<string>();

  constructor(
    private readonly clock: VirtualClock,
    private readonly random: RandomSource,
    private readonly options: NetworkOptions,
  ) {}

  /** Blocks or restores the path between two endpoints in both directions. */
  setBlocked(a: string, b: string, isBlocked: boolean): void {
    for (const path of [`${a}>${b}`, `${b}>${a}`]) {
      if (isBlocked) this.blocked.add(path);
      else this.blocked.delete(path);
    }
  }

  isBlocked(from: string, to: string): boolean {
    return this.blocked.has(`${from}>${to}`);
  }

  heal(): void {
    this.blocked.clear();
  }

  /** Delivers a message unless it is lost or the path is blocked at sending or at delivery. */
  send(from: HostId | 'platform', to: HostId | 'platform', deliver: () => void): void {
    if (from === to) {
      this.clock.setTimer(0, deliver);
      return;
    }
    if (from !== 'platform' && to !== 'platform') this.messages++;
    const {lossFraction, lateFraction, lateDelayMs, minDelayMs, maxDelayMs} = this.options;
    if (this.isBlocked(from, to) || this.random.next() < lossFraction) return;
    const isLate = this.random.next() < lateFraction;
    const maxMs = isLate ? lateDelayMs : maxDelayMs;
    const delayMs = minDelayMs + this.random.next() * (maxMs - minDelayMs);
    this.clock.setTimer(delayMs, () => {
      if (!this.isBlocked(from, to)) deliver();
    });
  }
}
