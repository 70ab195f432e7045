import {Branded, FailureDomain, HostId, ModelId, RequestId, TargetId, TeamId} from '@radishgw/core';

export type ServiceName = Branded<'ServiceName'>;
export type RouteName = Branded<'RouteName'>;
export type PromptPartId = Branded<'PromptPartId'>;

/** What may be repeated: `safe` always, `unsafe` never, `streaming` only where it may be resumed. */
export type RequestKind = 'safe' | 'unsafe' | 'streaming';

/** Part of a route's traffic that goes to one service. */
export interface TrafficShare {
  readonly service: ServiceName;
  /** Relative to the other shares of the route. */
  readonly weight: number;
}

/** A route selects requests by host and path prefix and says how they are served. */
export interface Route {
  readonly name: RouteName;
  /** Lower case, without a port. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RequestKind;
  readonly timeoutMs: number;
  /** Latency objective: to the whole answer, or to the first event of a stream. */
  readonly objectiveMs: number;
  /** Most targets to which one request is sent. */
  readonly maxAttempts: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly allowsAnonymous: boolean;
  /** Whether another target may continue a stream after its last event. */
  readonly mayResume: boolean;
  /** Longest pause between events that is still on time; 0 without one. */
  readonly maxGapMs: number;
  readonly shares: readonly TrafficShare[];
}

/** What a model engine offers. */
export interface EngineTraits {
  readonly cacheTokens: number;
  readonly handleTtlMs: number;
  readonly stageSwitchMs: number;
}

/** Bounds and prices for ordering targets of a service in one failure domain. */
export interface ScalingTraits {
  readonly minCount: number;
  readonly maxCount: number;
  readonly bootMs: number;
  /** Price of a preemptible target relative to an ordinary one; undefined if there are none. */
  readonly cheapPriceRatio: number | undefined;
  readonly domainPrices: ReadonlyMap<FailureDomain, number>;
}

export interface Service {
  readonly name: ServiceName;
  /** Connections that one target accepts from all hosts together. */
  readonly connectionLimit: number;
  readonly engine: EngineTraits | undefined;
  readonly scaling: ScalingTraits | undefined;
}

/** Rate of a team over all hosts together, in units of cost. */
export interface TeamLimit {
  readonly costPerSecond: number;
  readonly burstCost: number;
  /** Whether a request costs its tokens; otherwise each request costs one. */
  readonly countsTokens: boolean;
  /** Cost of a request that states no tokens. */
  readonly plainTokens: number;
}

export interface Team {
  readonly id: TeamId;
  /** Takes precedence over the priority of the route. */
  readonly priority: number | undefined;
  readonly limit: TeamLimit | undefined;
}

/** Bounds on what a client may send, and on how long it may take. */
export interface ClientLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One accepted version of the operator's configuration. */
export interface RelayConfig {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<ServiceName, Service>;
  readonly teams: ReadonlyMap<TeamId, Team>;
  /** Team by API key. */
  readonly teamsByKey: ReadonlyMap<string, TeamId>;
  readonly clientLimits: ClientLimits;
}

export type EngineStage = 'prefill' | 'decode';

/** A target as it describes itself in the store. */
export interface TargetEntry {
  readonly id: TargetId;
  /** Start of the process; the same id with another start is another incarnation. */
  readonly bornMs: number | undefined;
  readonly service: ServiceName;
  /** IP address and port. */
  readonly address: string;
  readonly failureDomain: FailureDomain;
  readonly slots: number;
  readonly isDraining: boolean;
  readonly stage: EngineStage | undefined;
  /** Preemptible: may be withdrawn at short notice. */
  readonly isCheap: boolean;
}

/** A part of a prompt; requests that share their first parts share cached memory. */
export interface PromptPart {
  readonly id: PromptPartId;
  readonly tokens: number;
}

/** What a client says of its request, apart from method, path and body. */
export interface RequestMeta {
  readonly requestId: RequestId;
  readonly apiKey: string | undefined;
  /** Time that the client will wait, counted from its sending; undefined if unlimited. */
  readonly deadlineMs: number | undefined;
  readonly model: ModelId | undefined;
  readonly promptTokens: number | undefined;
  readonly maxOutputTokens: number | undefined;
  readonly promptParts: readonly PromptPart[];
  /** Last event that the client has received of an earlier run of this stream. */
  readonly lastEventId: string | undefined;
}

/** Fields that the system sets on a request to a target. */
export interface TargetRequestFields {
  readonly expectedTarget: TargetId;
  /** Time that is left for the target, in whole milliseconds. */
  readonly deadlineMs: number;
  readonly team: TeamId | undefined;
  /** 0 is admitted first. */
  readonly urgency: number;
  /** Asks for the prompt to be read only; the answer is a {@link PrefillResult}. */
  readonly prefillOnly: boolean;
  /** Where the prompt's memory can be fetched. */
  readonly cacheSource: CacheSource | undefined;
  /** Replaces the client's own value when a stream is continued. */
  readonly lastEventId: string | undefined;
}

/** Memory of a prompt that was read at an engine and waits to be fetched once. */
export interface CacheSource {
  readonly address: string;
  readonly handle: string;
}

/** Load of a target as told in an answer. */
export interface TargetLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** What a target says in the head of an answer. */
export interface AnswerMeta {
  readonly requestId: string | undefined;
  /** Integrity seal of the answer; a success without one is not a target's answer. */
  readonly seal: string | undefined;
  /** The target states that it has not run the request. */
  readonly notRun: boolean;
  readonly load: TargetLoad | undefined;
}

/** Name and value by turns, as they stand on the wire. */
export type RawHeaders = readonly string[];

/** Translates between the wire of clients and targets and the types of this package. */
export interface RelayCodec {
  /** Reads the fields of a request; the error names the field that can't be read. */
  readRequest(headers: RawHeaders): RequestMeta | {readonly malformed: string};
  /** Headers for a target: the client's, less what concerns one connection or is the system's to set. */
  writeTargetHeaders(headers: RawHeaders, fields: TargetRequestFields): string[];
  readAnswer(headers: RawHeaders): AnswerMeta;
  /** Headers of an answer that a client receives. */
  writeClientHeaders(headers: RawHeaders): string[];
  /** Reads the answer to a prefill request; undefined if it can't be read. */
  readPrefill(body: Buffer): {readonly handle: string} | undefined;
  /** Path by which a handle is freed with DELETE. */
  handlePath(handle: string): string;
  /** Path at which an engine reports its state. */
  readonly reportPath: string;
  /** Orders that an engine has accepted, from its report; undefined if it can't be read. */
  readAcceptedOrders(body: Buffer): number | undefined;
  /** Path and body of an order that changes an engine's stage. */
  stageOrder(
    stage: EngineStage,
    holder: HostId,
    fencingToken: number,
    acceptedOrders: number,
  ): {readonly path: string; readonly body: string};
  /** Headers of a call to a target that isn't a client's request. */
  writeControlHeaders(target: TargetEntry): string[];
}

/** Requests of each team that began to run in one window. */
export type WindowCounts = Readonly<Record<string, number>>;

/** Calls that only the holder of the fleet lease makes. */
export interface DutyClient {
  /** Reports one window; true if it was accepted. */
  reportUsage(
    windowIndex: number,
    counts: WindowCounts,
    holder: HostId,
    fencingToken: number,
  ): Promise<DutyAnswer>;
  /** Orders an absolute number of targets of a service in a failure domain. */
  orderTargets(order: CapacityOrder, holder: HostId, fencingToken: number): Promise<DutyAnswer>;
}

/** An absolute order for targets of one kind. */
export interface CapacityOrder {
  readonly service: ServiceName;
  readonly failureDomain: FailureDomain;
  readonly isCheap: boolean;
  readonly desiredCount: number;
}

/** `unavailable` means none can be had now; `failed` that the outcome is unknown or refused. */
export type DutyAnswer = 'accepted' | 'unavailable' | 'failed';
