import {
  AcquireGrantRequest,
  ConfirmReply,
  ConfirmReserveRequest,
  handleAcquire,
  handleConfirm,
  onAcquireResponse,
  onConfirmResponse,
} from '@radishgw/limits';
import type {HostProcess} from './limits-process.js';

/** Carries a grant request to the shard owner and its response back. */
export function sendAcquire(from: HostProcess, request: AcquireGrantRequest): void {
  const {world} = from;
  const owner = from.ownerOf(request.shard);
  if (!owner) return;
  world.sendTo(from, owner, peer => {
    const state = peer.owners.get(request.shard);
    if (!state) return;
    const {response, replies} = handleAcquire(state, request, peer.nowMs());
    sendReplies(peer, request.shard, replies);
    if (response.grantedTokens > 0) world.onGranted(world.clock.nowMs(), request.teamId);
    world.sendBack(peer, from, () => {
      const {teamId, grantId} = request;
      from.perform(onAcquireResponse(from.host, teamId, grantId, response, from.nowMs()));
    });
  });
}

/** Carries a confirmation to the shard owner, which may answer later. */
export function sendConfirm(from: HostProcess, request: ConfirmReserveRequest): void {
  const owner = from.ownerOf(request.shard);
  if (!owner) return;
  from.world.sendTo(from, owner, peer => {
    const state = peer.owners.get(request.shard);
    if (!state) return;
    peer.confirmers.set(`${request.shard}/${request.hostId}`, from);
    sendReplies(peer, request.shard, handleConfirm(state, request, peer.nowMs()));
  });
}

/** Carries an owner's answers to confirmations back. */
export function sendReplies(
  owner: HostProcess,
  shard: number,
  replies: readonly ConfirmReply[],
): void {
  for (const {hostId, requestSequence, response} of replies) {
    const target = owner.confirmers.get(`${shard}/${hostId}`);
    if (!target) continue;
    owner.world.sendBack(owner, target, () => {
      const nowMs = target.nowMs();
      target.perform(onConfirmResponse(target.host, shard, requestSequence, response, nowMs));
    });
  }
}
