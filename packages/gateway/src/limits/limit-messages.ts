import * as limits from '@radishgw/limits';
import * as protocol from '@radishgw/protocol';

// The messages of the limits package have the same fields as the protocol's messages; only
// enumerations and branded ids differ.

const OUTCOMES = {
  granted: protocol.AcquireGrantResponse_Outcome.GRANTED,
  refused: protocol.AcquireGrantResponse_Outcome.REFUSED,
  notOwner: protocol.AcquireGrantResponse_Outcome.NOT_OWNER,
} as const;

const OUTCOME_NAMES = new Map(
  Object.entries(OUTCOMES).map(([name, value]) => [value, name as keyof typeof OUTCOMES]),
);

export function encodeAcquireRequest(
  request: limits.AcquireGrantRequest,
): protocol.AcquireGrantRequest {
  return protocol.create(protocol.AcquireGrantRequestSchema, {
    ...request,
    reports: request.reports.map(report => ({...report})),
    refunds: request.refunds.map(refund => ({...refund})),
  });
}

export function decodeAcquireRequest(
  request: protocol.AcquireGrantRequest,
): limits.AcquireGrantRequest {
  return request as unknown as limits.AcquireGrantRequest;
}

export function encodeAcquireResponse(
  response: limits.AcquireGrantResponse,
): protocol.AcquireGrantResponse {
  return protocol.create(protocol.AcquireGrantResponseSchema, {
    ...response,
    outcome: OUTCOMES[response.outcome],
  });
}

/** An outcome that this version doesn't know is decoded as `notOwner`. */
export function decodeAcquireResponse(
  response: protocol.AcquireGrantResponse,
): limits.AcquireGrantResponse {
  return {...response, outcome: OUTCOME_NAMES.get(response.outcome as never) ?? 'notOwner'};
}

export function encodeConfirmRequest(
  request: limits.ConfirmReserveRequest,
): protocol.ConfirmReserveRequest {
  return protocol.create(protocol.ConfirmReserveRequestSchema, {
    ...request,
    reserves: request.reserves.map(reserve => ({...reserve})),
    refunds: request.refunds.map(refund => ({...refund})),
  });
}

export function decodeConfirmRequest(
  request: protocol.ConfirmReserveRequest,
): limits.ConfirmReserveRequest {
  return request as unknown as limits.ConfirmReserveRequest;
}

export function encodeConfirmResponse(
  response: limits.ConfirmReserveResponse,
): protocol.ConfirmReserveResponse {
  return protocol.create(protocol.ConfirmReserveResponseSchema, {
    ...response,
    changes: response.changes.map(change => ({...change})),
  });
}

export function decodeConfirmResponse(
  response: protocol.ConfirmReserveResponse,
): limits.ConfirmReserveResponse {
  return response as unknown as limits.ConfirmReserveResponse;
}

export function encodeHandOver(
  request: limits.HandOverShardsRequest,
): protocol.HandOverShardsRequest {
  return protocol.create(protocol.HandOverShardsRequestSchema, {
    ...request,
    buckets: request.buckets.map(bucket => ({
      ...bucket,
      reserves: bucket.reserves.map(reserve => ({...reserve})),
    })),
    holders: request.holders.map(holder => ({...holder, sessionId: holder.sessionId ?? ''})),
  });
}

export function decodeHandOver(
  request: protocol.HandOverShardsRequest,
): limits.HandOverShardsRequest {
  const holders = request.holders.map(holder => ({
    ...holder,
    sessionId: holder.sessionId || undefined,
  }));
  return {...request, holders} as unknown as limits.HandOverShardsRequest;
}
