import {createHash} from 'node:crypto';

/** Maximum length of an id from outside that is kept as it is. */
const MAX_ID_CHARS = 64;

/** V8 keeps a longer part of a text as a reference to the whole text. */
const MAX_COPIED_CHARS = 12;

/**
 * Returns an id of bounded length for one that a client or target has chosen, to be kept for longer
 * than the message with it. A long one is replaced by its digest; the colon in it keeps it apart from
 * ids that can't have one. The result doesn't keep the text alive from which the id was cut.
 */
export function boundId<Id extends string>(id: Id): Id {
  if (id.length <= MAX_COPIED_CHARS) return id;
  if (id.length <= MAX_ID_CHARS) return Buffer.from(id).toString() as Id;
  return `sha256:${createHash('sha256').update(id).digest('base64url')}` as Id;
}
