import {Procedure} from '@radishgw/core';
import {Charge, RequestLimiter} from './ports.js';

/** Admits everything; for measurements of the path without limits. */
export class UnlimitedLimiter implements RequestLimiter {
  // eslint-disable-next-line require-yield
  *acquire(): Procedure<Charge> {
    return {settle: () => undefined};
  }
}
