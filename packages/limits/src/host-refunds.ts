import {takeRefund} from './bucket.js';
import {
  ChargePart,
  HostState,
  LocalGrant,
  refreshReserve,
  ShardLink,
  TeamState,
} from './host-state.js';

/** Delay before refunds are sent, so that several share a message. */
const REFUND_DELAY_MS = 200;

/** Refunds up to `tokens` of one part of a charge; returns the tokens left to refund. */
export function refundPart(
  state: HostState,
  link: ShardLink,
  team: TeamState,
  part: ChargePart,
  tokens: number,
  nowMs: number,
): number {
  const amount = Math.min(tokens, part.tokens);
  part.tokens -= amount;
  if (part.state === 'unreported') {
    if (part.grant) refundGrant(part.grant, amount, nowMs);
    else refundReserve(state, link, team, part, amount, nowMs);
  } else {
    part.pendingRefundTokens += amount;
    if (part.state === 'stamped') queueRefund(state, link, team, part, nowMs);
  }
  return tokens - amount;
}

function queueRefund(
  state: HostState,
  link: ShardLink,
  team: TeamState,
  part: ChargePart,
  nowMs: number,
): void {
  const tokens = part.pendingRefundTokens;
  part.pendingRefundTokens = 0;
  // A charge recorded by a former owner can't be refunded, since that owner's headroom log is gone.
  if (tokens <= 0 || part.epoch !== link.epoch) return;
  const refund = {teamId: team.teamId, tokens, stamp: part.stamp};
  if (part.grant) {
    team.grantRefunds.push(refund);
    team.refundDueMs = Math.min(team.refundDueMs, nowMs + REFUND_DELAY_MS);
    state.activeTeams.add(team.teamId);
    state.nextTimerMs = Math.min(state.nextTimerMs, team.refundDueMs);
  } else {
    team.reserveRefunds.push(refund);
    link.dirtyTeams.add(team.teamId);
  }
}

/** Stamps reported charges, or marks them as lost without a stamp, as the report may be lost. */
export function stampParts(
  state: HostState,
  link: ShardLink,
  team: TeamState,
  parts: readonly ChargePart[],
  stamp: number | undefined,
  nowMs: number,
): void {
  for (const part of parts) {
    part.state = stamp === undefined ? 'lost' : 'stamped';
    part.stamp = stamp ?? 0;
    if (stamp !== undefined) queueRefund(state, link, team, part, nowMs);
  }
}

function refundGrant(grant: LocalGrant, tokens: number, nowMs: number): void {
  if (grant.validUntilMs <= nowMs) return;
  grant.availableTokens += tokens;
  grant.spentTokens -= tokens;
}

function refundReserve(
  state: HostState,
  link: ShardLink,
  team: TeamState,
  part: ChargePart,
  tokens: number,
  nowMs: number,
): void {
  refreshReserve(state, link, team, nowMs);
  if (link.validUntilMs <= nowMs) return;
  const credit = takeRefund(team.reserveLog, part.localStamp, tokens);
  team.reserveTokens += credit;
  team.reserveSpentTokens -= credit;
  link.dirtyTeams.add(team.teamId);
}
