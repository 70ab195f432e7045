import {RadishError} from './errors.js';

/** Thrown when an invariant is violated. The process must not continue as if it held. */
export class InvariantError extends RadishError {
  constructor(
    readonly invariant: string,
    detail: string,
  ) {
    super('invariantViolated', `invariant ${invariant} violated: ${detail}`);
  }
}

/** Throws {@link InvariantError} unless `condition` holds. `detail` is called only on failure. */
export function assertInvariant(
  condition: boolean,
  invariant: string,
  detail: () => string,
): asserts condition {
  if (!condition) throw new InvariantError(invariant, detail());
}
