import {hash32} from '@radishgw/core';

/** An id and the relative number of keys that it should get. */
export interface WeightedId<Id extends string> {
  readonly id: Id;
  readonly weight: number;
}

const HASH_RANGE = 2 ** 32;

/**
 * Ids ordered by their weighted hash with a key: all hosts get the same order without a message,
 * and a change of the set moves only the keys of the ids that came or went.
 */
export function rankByKey<Id extends string>(key: string, ids: readonly WeightedId<Id>[]): Id[] {
  return ids
    .map(({id, weight}) => {
      const point = (hash32(`${key}/${id}`) + 0.5) / HASH_RANGE;
      return {id, score: -weight / Math.log(point)};
    })
    .sort((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1))
    .map(entry => entry.id);
}
