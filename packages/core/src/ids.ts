declare const brand: unique symbol;

/** A string type that isn't assignable to ids of another kind. */
export type Branded<Name extends string> = string & {readonly [brand]: Name};

export type HostId = Branded<'HostId'>;
export type SessionId = Branded<'SessionId'>;
export type TeamId = Branded<'TeamId'>;
export type TargetId = Branded<'TargetId'>;
export type FailureDomain = Branded<'FailureDomain'>;
export type KeyId = Branded<'KeyId'>;
export type ModelId = Branded<'ModelId'>;
export type PoolId = Branded<'PoolId'>;
export type RequestId = Branded<'RequestId'>;
export type AttemptId = Branded<'AttemptId'>;
export type OrderId = Branded<'OrderId'>;
export type GrantId = Branded<'GrantId'>;

/** Casts a plain string to an id type. Use it only where external input enters the program. */
export function toId<Id extends Branded<string>>(value: string): Id {
  return value as Id;
}
