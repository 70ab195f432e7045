import {RadishError} from './errors.js';

/** An invariant that didn't hold; the process must not go on as if it did. */
export class InvariantError extends RadishError {
  constructor(
    readonly invariant: string,
    detail: string,
  ) {
    super('invariantViolated', `invariant ${invariant} violated: ${detail}`);
  }
}

/** Throws {@link InvariantError} unless `condition` holds. `detail` is only evaluated on failure. */
export function assertInvariant(
  condition: boolean,
  invariant: string,
  detail: () => string,
): asserts condition {
  if (!condition) throw new InvariantError(invariant, detail());
}
