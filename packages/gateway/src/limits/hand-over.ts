import {call, HostId, Procedure} from '@radishgw/core';
import {HandOverShardsRequest} from '@radishgw/limits';
import {INNER_SERVICE} from '@radishgw/protocol';
import {PeerClients} from '../inner/peer-clients.js';
import {encodeHandOver} from './limit-messages.js';

const HAND_OVER_TIMEOUT_MS = 1000;

/** Sends the state of a shard to all hosts that may own it next; only the new owner uses it. */
export function* sendHandOver(
  clients: PeerClients,
  request: HandOverShardsRequest | undefined,
  candidates: readonly HostId[],
): Procedure<void> {
  if (!request) return;
  const message = encodeHandOver(request);
  yield* call(() =>
    Promise.all(
      candidates.map(hostId =>
        clients.call(hostId, INNER_SERVICE.handOverShards, message, HAND_OVER_TIMEOUT_MS),
      ),
    ),
  );
}
