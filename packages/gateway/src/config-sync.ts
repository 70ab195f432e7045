import {ConfigStore, CONFIG_PREFIX} from '@radishgw/config';
import {call, EventLog, Procedure, sleep} from '@radishgw/core';
import {Platform, PlatformEvent} from '@radishgw/platform';

const WATCH_WAIT_MS = 2000;
const RETRY_DELAY_MS = 500;

/** What keeping the configuration current needs. */
export interface ConfigSyncServices {
  readonly platform: Platform;
  readonly config: ConfigStore;
  readonly log: EventLog;
  /** Called with the store's revision after each answer of the platform. */
  onConfirmed(): void;
}

/** Loads the configuration and follows its changes until cancelled. */
export function* followConfig(services: ConfigSyncServices): Procedure<never> {
  let revision = yield* loadConfig(services);
  for (;;) {
    const answer = yield* call(() =>
      services.platform.watch(CONFIG_PREFIX, revision, WATCH_WAIT_MS),
    );
    if (answer.err) {
      services.log.write('platformUnreachable', {error: answer.val});
      yield* sleep(RETRY_DELAY_MS);
      continue;
    }
    if (answer.val.compacted) {
      revision = yield* loadConfig(services);
      continue;
    }
    for (const event of answer.val.events) applyEvent(services, event);
    revision = Math.max(revision, answer.val.revision);
    services.config.confirmRevision(revision);
    services.onConfirmed();
  }
}

function* loadConfig(services: ConfigSyncServices): Procedure<number> {
  for (;;) {
    const answer = yield* call(() => services.platform.list(CONFIG_PREFIX));
    if (answer.ok) {
      for (const error of services.config.applySnapshot(answer.val)) {
        services.log.write('configRejected', {...error});
      }
      services.onConfirmed();
      return answer.val.revision;
    }
    services.log.write('platformUnreachable', {error: answer.val});
    yield* sleep(RETRY_DELAY_MS);
  }
}

function applyEvent(services: ConfigSyncServices, event: PlatformEvent): void {
  const outcome = services.config.applyEvent(event);
  if (outcome.err) services.log.write('configRejected', {...outcome.val});
  else if (outcome.val) {
    services.log.write('configApplied', {key: event.key, revision: event.revision});
  }
}
