import tsResults, {
  type Err as ErrType,
  type Ok as OkType,
  type Result as ResultType,
} from 'ts-results';

// ts-results is a CommonJS package whose named exports Node.js can't detect from an ES module.

/** Either a success with a value or a failure with an error. */
export type Result<T, E> = ResultType<T, E>;
export type Ok<T> = OkType<T>;
export type Err<E> = ErrType<E>;
export const Ok = tsResults.Ok;
export const Err = tsResults.Err;
