/** Exit codes of radishctl. */
export const EXIT_CODES = {
  ok: 0,
  /** The command ran and found a fault, such as an invalid file or an unhealthy host. */
  failed: 1,
  /** Wrong flags or settings. */
  usage: 2,
  /** The platform or a host could not be reached; nothing was changed. */
  unavailable: 3,
  /** Another operator changed the same object meanwhile. */
  conflict: 4,
  /** The outcome of a change is not known; run the command again. */
  unknown: 5,
  /** The change was accepted but isn't in force everywhere within the given time. */
  notInForce: 6,
} as const;

export type ExitName = keyof typeof EXIT_CODES;

/** Ends a command with a message on standard error and an exit code. */
export class CommandError extends Error {
  constructor(
    readonly exit: ExitName,
    message: string,
  ) {
    super(message);
  }
}
