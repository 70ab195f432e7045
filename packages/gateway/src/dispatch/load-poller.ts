import {ConfigStore, TargetConfig} from '@radishgw/config';
import {call, Clock, Procedure, readText, sleep, TargetId, toId} from '@radishgw/core';
import {LoadReport} from '@radishgw/scheduling';
import {Dispatcher as HttpDispatcher} from 'undici';
import {z} from 'zod';

const POLL_INTERVAL_MS = 1000;
const CALL_TIMEOUT_MS = 1000;
const MAX_REPORT_BYTES = 65_536;
const ENGINE_LOAD_PATH = '/v1/load';
/** Polling rounds after which a target without a usable load report is polled again. */
const BACKOFF_ROUNDS = 10;

const loadSchema = z.object({
  running: z.number().nonnegative(),
  waiting: z.number().nonnegative(),
  pendingPrefillTokens: z.number().nonnegative().default(0),
  /** Age of the sample when the report was sent. */
  ageMs: z.number().nonnegative().default(0),
});

/** Dependencies of {@link pollLoads}. */
export interface LoadPollerDependencies {
  readonly clock: Clock;
  readonly config: ConfigStore;
  readonly http: HttpDispatcher;
  recordLoadReport(pool: string, targetId: TargetId, report: LoadReport): void;
}

/** Polls the load of all targets once a second. */
export function* pollLoads(dependencies: LoadPollerDependencies): Procedure<never> {
  const skipUntilRound = new Map<string, number>();
  for (let round = 0; ; round++) {
    const targets = dependencies.config.getBase()?.targets ?? [];
    const due = targets.filter(
      target =>
        findLoadPath(target) !== undefined && (skipUntilRound.get(target.targetId) ?? 0) <= round,
    );
    yield* call(() =>
      Promise.all(
        due.map(async target => {
          const hasReported = await pollTarget(dependencies, target);
          if (!hasReported) skipUntilRound.set(target.targetId, round + BACKOFF_ROUNDS);
        }),
      ),
    );
    yield* sleep(POLL_INTERVAL_MS);
  }
}

/** Services are polled only if configured with a load path, since a call may have side effects. */
function findLoadPath(target: TargetConfig): string | undefined {
  return target.loadPath ?? (target.kind === 'engine' ? ENGINE_LOAD_PATH : undefined);
}

/** Records a target's load report; returns false if the target gave no usable response. */
async function pollTarget(
  dependencies: LoadPollerDependencies,
  target: TargetConfig,
): Promise<boolean> {
  const sentMs = dependencies.clock.nowMs();
  try {
    const response = await dependencies.http.request({
      origin: new URL(target.url).origin,
      path: findLoadPath(target) ?? ENGINE_LOAD_PATH,
      method: 'GET',
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
    });
    const text = await readText(response.body, MAX_REPORT_BYTES);
    if (response.statusCode !== 200) return false;
    const load = loadSchema.parse(JSON.parse(text));
    dependencies.recordLoadReport(target.pool, toId<TargetId>(target.targetId), {
      sampledAtMs: sentMs - load.ageMs,
      outstanding: load.running + load.waiting,
      pendingPrefillTokens: load.pendingPrefillTokens,
    });
    return true;
  } catch {
    return false;
  }
}
