import {HEARTBEAT_INTERVAL_MS, HOST_TIMEOUT_MS} from '../store/host-registry.js';

/**
 * Time for which an owner may grant quota after it sent the latest record that the store accepted.
 * Other hosts choose a new owner {@link HOST_TIMEOUT_MS} after they saw that record, so that two
 * hosts never grant the whole rate at once; the difference allows for clock drift.
 */
export const OWNERSHIP_VALIDITY_MS = HOST_TIMEOUT_MS - 100;

/**
 * Maximum age of an owner's list of hosts: an older one may lack a host that has become the owner.
 */
export const LIST_VALIDITY_MS = 3000;

/**
 * Time for which a host that takes a team over from a live owner grants nothing. The earlier owner
 * has a newer list by then, or one that is too old.
 */
export const TAKEOVER_MS = LIST_VALIDITY_MS + 200;

/** The owner counts a host as in touch for this long after an answer that the host has received. */
export const CONTACT_MS = 1000;

/**
 * A host decides on its own this long after it sent the last call that was answered. The answer came
 * before the timeout of the call, so that the owner has stopped to count the host by then.
 */
export const SEPARATION_MS = CONTACT_MS + 200;

/** A host may decide on its own until this long after it was last in touch. */
export const RIGHT_MS = 10_000;

/** The owner leaves the share out for longer, so that clocks may drift. */
export const RESERVED_MS = RIGHT_MS + 200;

/**
 * The same for hosts that have their right from an earlier owner: those with an older list may have
 * renewed it for a while.
 */
export const INHERITED_MS = RESERVED_MS + LIST_VALIDITY_MS;

/**
 * Time after a host's first read of a store that came back from a copy in which its list may lack
 * hosts. An owner whose record the copy has lost has written another one by then, or its ownership
 * has ended.
 */
export const COMPLETION_MS = HOST_TIMEOUT_MS;

/**
 * A host with this beat started at least {@link COMPLETION_MS} before: hosts write twice in a
 * heartbeat interval at most, and a few times more when they stop.
 */
export const MIN_SETTLED_BEAT = 2 * Math.ceil(COMPLETION_MS / HEARTBEAT_INTERVAL_MS) + 2;
