import {ConfigStore, TargetConfig} from '@radishgw/config';
import {call, Clock, Procedure, sleep, TargetId, toId} from '@radishgw/core';
import {LoadReport} from '@radishgw/scheduling';
import {Dispatcher as HttpDispatcher} from 'undici';
import {z} from 'zod';

const POLL_MS = 1000;
const CALL_TIMEOUT_MS = 1000;
const ENGINE_LOAD_PATH = '/v1/load';
/** Targets that report no load are asked this many rounds later again. */
const SKIP_ROUNDS = 10;

const loadSchema = z.object({
  running: z.number().nonnegative(),
  waiting: z.number().nonnegative(),
  pendingPrefillTokens: z.number().nonnegative().default(0),
  /** Age of the sample when it was sent. */
  ageMs: z.number().nonnegative().default(0),
});

/** What polling needs. */
export interface LoadPollerServices {
  readonly clock: Clock;
  readonly config: ConfigStore;
  readonly http: HttpDispatcher;
  takeReport(pool: string, targetId: TargetId, report: LoadReport): void;
}

/** Asks all targets for their load once a second. */
export function* pollLoads(services: LoadPollerServices): Procedure<never> {
  const skipUntilRound = new Map<string, number>();
  for (let round = 0; ; round++) {
    const targets = services.config.getBase()?.targets ?? [];
    const due = targets.filter(
      target =>
        findLoadPath(target) !== undefined && (skipUntilRound.get(target.targetId) ?? 0) <= round,
    );
    yield* call(() =>
      Promise.all(
        due.map(async target => {
          const answered = await pollTarget(services, target);
          if (!answered) skipUntilRound.set(target.targetId, round + SKIP_ROUNDS);
        }),
      ),
    );
    yield* sleep(POLL_MS);
  }
}

/** A plain service is only asked where its configuration says so: a call may have effects. */
function findLoadPath(target: TargetConfig): string | undefined {
  return target.loadPath ?? (target.kind === 'engine' ? ENGINE_LOAD_PATH : undefined);
}

/** Returns false if the target gave no usable answer. */
async function pollTarget(services: LoadPollerServices, target: TargetConfig): Promise<boolean> {
  const sentMs = services.clock.nowMs();
  try {
    const response = await services.http.request({
      origin: new URL(target.url).origin,
      path: findLoadPath(target) ?? ENGINE_LOAD_PATH,
      method: 'GET',
      headersTimeout: CALL_TIMEOUT_MS,
      bodyTimeout: CALL_TIMEOUT_MS,
    });
    const text = await response.body.text();
    if (response.statusCode !== 200) return false;
    const load = loadSchema.parse(JSON.parse(text));
    services.takeReport(target.pool, toId<TargetId>(target.targetId), {
      sampledAtMs: sentMs - load.ageMs,
      outstanding: load.running + load.waiting,
      pendingPrefillTokens: load.pendingPrefillTokens,
    });
    return true;
  } catch {
    return false;
  }
}
