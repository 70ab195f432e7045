import {hash32} from '@radishgw/core';

/** An id and its relative share of the keys. */
export interface WeightedId<Id extends string> {
  readonly id: Id;
  readonly weight: number;
}

const HASH_RANGE = 2 ** 32;

/**
 * Ranks ids for a key by weighted rendezvous hashing. All hosts compute the same order without
 * communication, and adding or removing an id moves only the keys of that id.
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
