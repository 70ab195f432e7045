import {Ok} from '@radishgw/core';
import {Platform} from '@radishgw/coordination';

/** Mechanisms that a soak can run without, to show that it finds what they prevent. */
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

/** A platform that claims to store objects under `prefix` but doesn't. */
export function forgetWrites(platform: Platform, prefix: string): Platform {
  let revision = 1_000_000_000;
  return {
    ...platform,
    put: async (key, value, condition) =>
      key.startsWith(prefix) ? Ok(revision++) : platform.put(key, value, condition),
  };
}

/** A platform whose objects don't show the attempt that wrote them. */
export function hideAttempts(platform: Platform): Platform {
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
