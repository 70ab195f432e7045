import {IncomingHttpHeaders} from 'node:http';
import {ConfigStore, matchesKey, parseKey, Team} from '@radishgw/config';
import {findKey} from './headers.js';
import {Refusal} from './refusal.js';

/** An authenticated team and the secret of its key, which must not reach a target. */
export interface Caller {
  readonly team: Team;
  readonly secretHex: string;
}

/** Finds the team that the API key belongs to; throws a refusal if the key is not valid. */
export function authenticate(config: ConfigStore, headers: IncomingHttpHeaders): Caller {
  const text = findKey(headers);
  if (!text) throw new Refusal('keyMissing', 'no API key in the Authorization header');
  const key = parseKey(text);
  const team = key && config.findTeamByKey(key.keyId);
  const record = team?.keys.find(candidate => candidate.keyId === key?.keyId);
  if (!key || !team || !record || !matchesKey(record, key.secretHex)) {
    throw new Refusal('keyUnknown', 'the API key is not valid');
  }
  return {team, secretHex: key.secretHex};
}
