import {EngineStage, ServiceName, WorkReport} from '../model.js';
import {Backlog} from './backlog.js';
import {CostModel} from './cost-model.js';
import {SpeedModel} from './speed-model.js';
import {incarnationKey} from '../targets/leaving-targets.js';
import {TargetState} from '../targets/target-state.js';

/** Whether services are placed by expected work or by slots; undefined to go by their targets. */
export type PlacementMode = 'work' | 'slots' | undefined;

/** Weight of a new observation of an error. */
const SMOOTHING_FACTOR = 0.05;

/** Weight of a new prompt in the moments of prompt lengths. */
const LENGTH_SMOOTHING_FACTOR = 0.03;

/** What a host knows of the work of a service. */
export interface ServiceWork {
  /** Means of the work of a request and of its square, in uncached tokens or in ms. */
  meanWork: number;
  meanSquareWork: number;
  /** Mean absolute difference between expected and actual time. */
  errorMs: number;
  /** Number of responses in that mean. */
  errorCount: number;
}

/** What was expected of a prefill; compared with the actual time. */
export interface PrefillExpectation {
  readonly target: TargetState;
  readonly stage: EngineStage;
  /** Time until the prompt is prefilled. */
  readonly totalMs: number;
  readonly promptTokens: number;
  readonly prefixTokens: number;
  /** Expected number of uncached tokens. */
  readonly newTokens: number;
  readonly tokensPerMs: number;
  readonly timeFactor: number;
  /** Whether other requests were known to be at the engine. */
  readonly hadOwn: boolean;
  readonly hadOthers: boolean;
}

/** What this host knows of the work of requests and of the speed of targets. */
export class WorkModel {
  readonly speeds = new SpeedModel();
  readonly costs = new CostModel();
  readonly backlog = new Backlog();
  private readonly reporting = new Set<string>();
  private readonly services = new Map<ServiceName, ServiceWork>();
  private readonly keys = new WeakMap<TargetState['entry'], string>();

  constructor(private readonly mode?: PlacementMode) {}

  /**
   * Whether a service is placed by expected work: one of its targets has reported a slowdown, to
   * this host or to another one.
   */
  isPlacedByWork(service: ServiceName): boolean {
    return this.mode === undefined ? this.reporting.has(service) : this.mode === 'work';
  }

  /** Records that a target of a service has reported a slowdown, if it has. */
  recordReport({entry, slowdownAtMs}: TargetState): void {
    if (slowdownAtMs > -Infinity) this.reporting.add(entry.service);
  }

  ofService(service: ServiceName): ServiceWork {
    let work = this.services.get(service);
    if (!work) {
      work = {meanWork: 0, meanSquareWork: 0, errorMs: 0, errorCount: 0};
      this.services.set(service, work);
    }
    return work;
  }

  /** Mean error of the estimates in ms, by service that is placed by work. */
  listErrors(): (readonly [ServiceName, number])[] {
    return [...this.services].map(([name, {errorMs}]) => [name, Math.round(errorMs)] as const);
  }

  /** Identifies the incarnation of a target in reports. */
  keyOf({entry}: TargetState): string {
    let key = this.keys.get(entry);
    if (key === undefined) this.keys.set(entry, (key = incarnationKey(entry)));
    return key;
  }

  /** What this host has observed, for its record; undefined if no service is placed by work. */
  report(nowMs: number): WorkReport | undefined {
    return this.makeReport(() => this.speeds.report(nowMs));
  }

  /** The sum of what all hosts have observed, for hosts that don't read the others' records. */
  summarize(nowMs: number): WorkReport | undefined {
    return this.makeReport(() => this.speeds.summarize(nowMs));
  }

  private makeReport(listTargets: () => WorkReport['targets']): WorkReport | undefined {
    if (this.mode === 'slots' || (this.mode === undefined && this.reporting.size === 0)) {
      return undefined;
    }
    return {services: [...this.reporting], targets: listTargets()};
  }

  /** Applies the latest reports of the other hosts. */
  applyReports(reports: readonly WorkReport[], nowMs: number): void {
    for (const {services} of reports) for (const name of services) this.reporting.add(name);
    this.speeds.applyReports(
      reports.map(({targets}) => targets),
      nowMs,
    );
  }
}

/** Records the work of a request that is sent to a target. */
export function recordWorkLength(service: ServiceWork, work: number): void {
  const weight = service.meanWork === 0 ? 1 : LENGTH_SMOOTHING_FACTOR;
  service.meanWork += weight * (work - service.meanWork);
  service.meanSquareWork += weight * (work * work - service.meanSquareWork);
}

/** Expected rest of the work in progress at a target that is at work, seen at a random time. */
export function residualWork({meanWork, meanSquareWork}: ServiceWork): number {
  return meanWork === 0 ? 0 : meanSquareWork / (2 * meanWork);
}

/** Records the difference between the expected and the actual time of a response. */
export function recordError(service: ServiceWork, expectedMs: number, actualMs: number): void {
  service.errorCount++;
  const weight = Math.max(SMOOTHING_FACTOR, 1 / service.errorCount);
  service.errorMs += weight * (Math.abs(actualMs - expectedMs) - service.errorMs);
}
