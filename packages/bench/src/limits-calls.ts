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

/** Sends a grant request to the shard owner and its response back to the requesting host. */
export function sendAcquire(from: HostProcess, request: AcquireGrantRequest): void {
  const {simulation} = from;
  const owner = from.ownerOf(request.shard);
  if (!owner) return;
  simulation.sendTo(from, owner, peer => {
    const state = peer.owners.get(request.shard);
    if (!state) return;
    const {response, replies} = handleAcquire(state, request, peer.nowMs());
    sendReplies(peer, request.shard, replies);
    if (response.grantedTokens > 0) simulation.onGranted(simulation.clock.nowMs(), request.teamId);
    simulation.sendResponse(peer, from, () => {
      const {teamId, grantId} = request;
      from.executeActions(onAcquireResponse(from.host, teamId, grantId, response, from.nowMs()));
    });
  });
}

/** Sends a reserve confirmation to the shard owner, which may defer its response. */
export function sendConfirm(from: HostProcess, request: ConfirmReserveRequest): void {
  const owner = from.ownerOf(request.shard);
  if (!owner) return;
  from.simulation.sendTo(from, owner, peer => {
    const state = peer.owners.get(request.shard);
    if (!state) return;
    peer.confirmSenders.set(`${request.shard}/${request.hostId}`, from);
    sendReplies(peer, request.shard, handleConfirm(state, request, peer.nowMs()));
  });
}

/** Sends the owner's responses back to the hosts that confirmed reserves. */
export function sendReplies(
  owner: HostProcess,
  shard: number,
  replies: readonly ConfirmReply[],
): void {
  for (const {hostId, requestSequence, response} of replies) {
    const target = owner.confirmSenders.get(`${shard}/${hostId}`);
    if (!target) continue;
    owner.simulation.sendResponse(owner, target, () => {
      const nowMs = target.nowMs();
      target.executeActions(
        onConfirmResponse(target.host, shard, requestSequence, response, nowMs),
      );
    });
  }
}
