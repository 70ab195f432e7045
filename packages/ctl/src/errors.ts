/** Exit codes of radishctl. */
export const EXIT_CODES = {
  ok: 0,
  /** The command ran and found a problem, such as an invalid file or an unhealthy host. */
  failed: 1,
  /** Wrong flags or settings. */
  usage: 2,
  /** The platform or a host could not be reached; nothing was changed. */
  unavailable: 3,
  /** The object was changed concurrently, such as by another operator. */
  conflict: 4,
  /** The outcome of a change is unknown; run the command again. */
  unknown: 5,
  /** The change was accepted but was not in force on all hosts before the timeout. */
  notInForce: 6,
} as const;

export type ExitName = keyof typeof EXIT_CODES;

/** Error that ends a command with a message on standard error and an exit code. */
export class CommandError extends Error {
  constructor(
    readonly exitName: ExitName,
    message: string,
  ) {
    super(message);
  }
}
