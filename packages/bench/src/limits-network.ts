import {HostId, RandomSource, VirtualClock} from '@radishgw/core';

/** Delay and loss of messages. */
export interface NetworkOptions {
  readonly minDelayMs: number;
  readonly maxDelayMs: number;
  readonly lossFraction: number;
  /** Share of messages that take up to `lateDelayMs`. */
  readonly lateFraction: number;
  readonly lateDelayMs: number;
}

/** Messages between hosts and to the platform, in virtual time. */
export class NetworkModel {
  /** Host messages sent; local calls aren't counted. */
  messages = 0;
  /** Pairs `a>b` that don't pass; `*` stands for all hosts, `platform` for the store. */
  private readonly blocked = new Set<string>();

  constructor(
    private readonly clock: VirtualClock,
    private readonly random: RandomSource,
    private readonly options: NetworkOptions,
  ) {}

  /** Cuts or restores the path between two ends in both directions. */
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

  /** Delivers a message unless it is lost or the path is cut when it is sent or arrives. */
  send(from: HostId | 'platform', to: HostId | 'platform', deliver: () => void): void {
    if (from === to) {
      this.clock.setTimer(0, deliver);
      return;
    }
    if (from !== 'platform' && to !== 'platform') this.messages++;
    const {lossFraction, lateFraction, lateDelayMs, minDelayMs, maxDelayMs} = this.options;
    if (this.isBlocked(from, to) || this.random.next() < lossFraction) return;
    const isLate = this.random.next() < lateFraction;
    const most = isLate ? lateDelayMs : maxDelayMs;
    const delayMs = minDelayMs + this.random.next() * (most - minDelayMs);
    this.clock.setTimer(delayMs, () => {
      if (!this.isBlocked(from, to)) deliver();
    });
  }
}
