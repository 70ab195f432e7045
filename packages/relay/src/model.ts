import {Branded, FailureDomain, HostId, ModelId, RequestId, TargetId, TeamId} from '@radishgw/core';

export type ServiceName = Branded<'ServiceName'>;
export type RouteName = Branded<'RouteName'>;
export type PromptPartId = Branded<'PromptPartId'>;
/** A set of failure domains that a client's data may be bound to. */
export type Region = Branded<'Region'>;

/** `safe` requests may be repeated, `unsafe` ones may not, `streaming` ones if resumable. */
export type RequestKind = 'safe' | 'unsafe' | 'streaming';

/** Share of a route's traffic that goes to one service. */
export interface TrafficShare {
  readonly service: ServiceName;
  /** Relative to the other shares of the route. */
  readonly weight: number;
}

/** Selects requests by host and path prefix and defines how they are served. */
export interface Route {
  readonly name: RouteName;
  /** Lower case, without a port. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RequestKind;
  readonly timeoutMs: number;
  /** Latency objective for the complete answer, or for the first event of a stream. */
  readonly objectiveMs: number;
  /** Maximum number of targets to which one request is sent. */
  readonly maxAttempts: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly allowsAnonymous: boolean;
  /** Whether another target may resume a stream after its last event. */
  readonly mayResume: boolean;
  /** Maximum gap between events that still meets the objective; 0 if there is no such limit. */
  readonly maxGapMs: number;
  readonly shares: readonly TrafficShare[];
  /** Regions whose targets may serve the route; undefined if all may. */
  readonly homeRegions?: readonly Region[];
}

/** Properties of a model engine. */
export interface EngineTraits {
  readonly cacheTokens: number;
  readonly handleTtlMs: number;
  readonly stageSwitchMs: number;
}

/** Limits and prices for ordering targets of a service in one failure domain. */
export interface ScalingTraits {
  readonly minCount: number;
  readonly maxCount: number;
  readonly bootMs: number;
  /** Price of a preemptible target relative to an ordinary one; undefined if none are offered. */
  readonly cheapPriceRatio: number | undefined;
  readonly domainPrices: ReadonlyMap<FailureDomain, number>;
}

export interface Service {
  readonly name: ServiceName;
  /** Maximum number of connections that one target accepts from all hosts together. */
  readonly connectionLimit: number;
  readonly engine: EngineTraits | undefined;
  readonly scaling: ScalingTraits | undefined;
  /**
   * Rate of requests that a cold target takes from all hosts together; 0 or undefined if it isn't
   * limited.
   */
  readonly coldRequestsPerSecond?: number;
  /** Time for which a target is cold after its start; undefined if unknown. */
  readonly coldStartMs?: number;
}

/** Rate limit of a team over all hosts together, in units of cost. */
export interface TeamLimit {
  readonly costPerSecond: number;
  readonly burstCost: number;
  /** Whether a request costs its tokens; otherwise each request costs one. */
  readonly countsTokens: boolean;
  /** Cost of a request that doesn't state its number of tokens. */
  readonly plainTokens: number;
}

export interface Team {
  readonly id: TeamId;
  /** Takes precedence over the priority of the route. */
  readonly priority: number | undefined;
  readonly limit: TeamLimit | undefined;
  /** Regions whose targets may serve the team; undefined if all may. */
  readonly homeRegions?: readonly Region[];
}

/** Limits on the size of clients' requests and on the time that clients may take. */
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

/** Entry of a target in the store, as described by the target itself. */
export interface TargetEntry {
  readonly id: TargetId;
  /** Start time of the process; the same id with another start time is another incarnation. */
  readonly bornMs: number | undefined;
  readonly service: ServiceName;
  /** IP address and port. */
  readonly address: string;
  readonly failureDomain: FailureDomain;
  readonly slots: number;
  readonly isDraining: boolean;
  readonly stage: EngineStage | undefined;
  /** Whether the target is preemptible: it may be withdrawn at short notice. */
  readonly isCheap: boolean;
  /** Time for which the target is cold from when its entry is read; missing if it is warm. */
  readonly coldForMs?: number;
  /** Set if the entry states a time for which the target is cold that can't be used. */
  readonly hasInvalidColdTime?: true;
  /** Set if the store came back from an older copy and the entry hasn't been written since. */
  readonly isFromCopy?: true;
}

/** The entries of all targets, as read from the store. */
export interface TargetList {
  /** Era of the store at which the list was current; missing if the store has only one. */
  readonly era?: number;
  /** Revision of the store at which the list was current. */
  readonly revision: number;
  readonly entries: readonly TargetEntry[];
  /** Targets whose entries can't be used. */
  readonly unreadable?: readonly TargetId[];
}

/** A failure domain whose targets get no requests until the operator ends this. */
export interface Evacuation {
  readonly failureDomain: FailureDomain;
  /** Time in Unix milliseconds at which the store acknowledged it; missing if unknown. */
  readonly acknowledgedMs?: number;
}

/** All evacuations, as read from the store. */
export interface EvacuationList {
  /** Era of the store at which the list was current; missing if the store has only one. */
  readonly era?: number;
  /** Revision of the store at which the list was current. */
  readonly revision: number;
  readonly evacuations: readonly Evacuation[];
}

/** A part of a prompt; requests with the same leading parts share their cache entries. */
export interface PromptPart {
  readonly id: PromptPartId;
  readonly tokens: number;
}

/** Metadata of a client's request other than its method, path and body. */
export interface RequestMeta {
  readonly requestId: RequestId;
  readonly apiKey: string | undefined;
  /** Time that the client waits after it sent the request; undefined if unlimited. */
  readonly deadlineMs: number | undefined;
  readonly model: ModelId | undefined;
  readonly promptTokens: number | undefined;
  readonly maxOutputTokens: number | undefined;
  readonly promptParts: readonly PromptPart[];
  /** Id of the last event that the client has received from an earlier run of this stream. */
  readonly lastEventId: string | undefined;
}

/** Fields that the host sets on a request to a target. */
export interface TargetRequestFields {
  readonly expectedTarget: TargetId;
  /** Remaining time for the target, in whole milliseconds. */
  readonly deadlineMs: number;
  readonly team: TeamId | undefined;
  /** Order of admission at the target; 0 is admitted first. */
  readonly urgency: number;
  /** Requests only a prefill; {@link RelayCodec.readPrefill} reads the answer. */
  readonly prefillOnly: boolean;
  /** Where the cache of the prefilled prompt can be fetched. */
  readonly cacheSource: CacheSource | undefined;
  /** Replaces the client's own value when a stream is resumed. */
  readonly lastEventId: string | undefined;
}

/** Cache of a prompt that was prefilled at an engine, which can be fetched from there once. */
export interface CacheSource {
  readonly address: string;
  readonly handle: string;
}

/** Load of a target as reported in an answer. */
export interface TargetLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How long work takes at the moment: 1 is as usual, 2.5 means 2.5 times as long. */
  readonly slowdown?: number;
  /** Whether the target reported a slowdown that can't be used. */
  readonly hasInvalidSlowdown?: true;
}

/**
 * Observations of one target over the last seconds: the weight of the observed responses, the
 * weighted sum of the logarithms of actual by expected time, and the work sent to it in ms. The
 * first two are in hundredths.
 */
export type TargetWork = readonly [weight: number, logSum: number, workMs: number];

/** What a host has observed of targets, for the other hosts. */
export interface WorkReport {
  /** Services with a target that has reported a slowdown. */
  readonly services: readonly string[];
  /** By incarnation of the target. */
  readonly targets: Readonly<Record<string, TargetWork>>;
}

/** Metadata in the head of a target's answer. */
export interface AnswerMeta {
  readonly requestId: string | undefined;
  /** Integrity seal of the answer; a success without one is not a target's answer. */
  readonly seal: string | undefined;
  /** Whether the target states that it has not run the request. */
  readonly notRun: boolean;
  readonly load: TargetLoad | undefined;
  /** Whether the target says that it leaves. */
  readonly isLeaving: boolean;
  /** Time for which a target that refuses wants no calls, as it says; undefined if it doesn't. */
  readonly retryAfterMs: number | undefined;
  /** Value of that field if it can't be read. */
  readonly malformedRetryAfter: string | undefined;
}

/** Alternating names and values, as on the wire. */
export type RawHeaders = readonly string[];

/** Converts between the wire format of clients and targets and the types of this package. */
export interface RelayCodec {
  /** Reads the fields of a request; the error names the field that can't be read. */
  readRequest(headers: RawHeaders): RequestMeta | {readonly malformed: string};
  /** Headers for a target: the client's without hop-by-hop and reserved ones, plus `fields`. */
  writeTargetHeaders(headers: RawHeaders, fields: TargetRequestFields): string[];
  readAnswer(headers: RawHeaders): AnswerMeta;
  /** Headers of an answer that is sent to a client. */
  writeClientHeaders(headers: RawHeaders): string[];
  /** Reads the answer to a prefill request; undefined if it can't be read. */
  readPrefill(body: Buffer): {readonly handle: string} | undefined;
  /** Path at which a handle is released with DELETE. */
  handlePath(handle: string): string;
  /** Path at which an engine reports its state. */
  readonly reportPath: string;
  /** Number of orders that an engine has accepted, from its report; undefined if unreadable. */
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

/** Number of requests of each team that started to run in one window. */
export type WindowCounts = Readonly<Record<string, number>>;

/**
 * Calls that only the holder of the fleet lease makes. `mayAct` is asked again just before a call is
 * written, as it may have waited for a connection; it fails if that returns false.
 */
export interface DutyClient {
  /** Reports the usage of one window. */
  reportUsage(
    windowIndex: number,
    counts: WindowCounts,
    holder: HostId,
    fencingToken: number,
    mayAct: () => boolean,
  ): Promise<DutyAnswer>;
  /** Orders an absolute number of targets of a service in a failure domain. */
  orderTargets(
    order: CapacityOrder,
    holder: HostId,
    fencingToken: number,
    mayAct: () => boolean,
  ): Promise<DutyAnswer>;
}

/** Order for an absolute number of targets of one kind. */
export interface CapacityOrder {
  readonly service: ServiceName;
  readonly failureDomain: FailureDomain;
  readonly isCheap: boolean;
  readonly desiredCount: number;
}

/** `unavailable`: no target is available now; `failed`: the call was refused or is unresolved. */
export type DutyAnswer = 'accepted' | 'unavailable' | 'failed';
