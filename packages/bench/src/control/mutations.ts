import {Ok} from '@radishgw/core';
import {Platform} from '@radishgw/coordination';

/** Mechanisms that can be disabled, to show that a soak finds the failures that they prevent. */
export const MECHANISMS = [
  'sameTurnCheck',
  'fencing',
  'quarantine',
  'journalBeforeSend',
  'ownAttemptRecognition',
  'freezeBeforeReport',
  'sequenceCheck',
] as const;

export type Mechanism = (typeof MECHANISMS)[number];

/** Returns a platform that acknowledges writes of objects under `prefix` but doesn't store them. */
export function dropWrites(platform: Platform, prefix: string): Platform {
  let revision = 1_000_000_000;
  return {
    ...platform,
    put: async (key, value, condition) =>
      key.startsWith(prefix) ? Ok(revision++) : platform.put(key, value, condition),
  };
}

/** Returns a platform that hides the id of the attempt that wrote an object. */
export function hideAttemptIds(platform: Platform): Platform {
  return {
    ...platform,
    get: async key => {
      const answer = await platform.get(key);
      return answer.map(object => ({
        ...object,
        value: object.value.replace(/"attemptId":"[^"]*"/, '"attemptId":"hidden"'),
      }));
    },
  };
}
