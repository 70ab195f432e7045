import {randomBytes} from 'node:crypto';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Source of random numbers. It is passed in as a parameter, so that runs are reproducible. */
export interface RandomSource {
  /** Uniform in [0, 1). */
  next(): number;
  /** Uniform integer in [0, bound). */
  nextInt(bound: number): number;
  /** `bytes` random bytes in hexadecimal. */
  nextHex(bytes: number): string;
}

/** Creates a reproducible source for tests and benchmarks. */
export function createSeededRandom(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed);
  const next = () => uniformFloat64(generator);
  const nextInt = (bound: number) => Math.floor(next() * bound);
  return {
    next,
    nextInt,
    nextHex: bytes => {
      let hex = '';
      for (let i = 0; i < bytes; i++) hex += nextInt(256).toString(16).padStart(2, '0');
      return hex;
    },
  };
}

/** Random bytes are read in blocks, as a system call for each id took 3% of a host's time. */
const BLOCK_BYTES = 4096;

/** Creates the source for production, based on the system's cryptographic random generator. */
export function createSystemRandom(): RandomSource {
  let block = Buffer.alloc(0);
  let offset = 0;
  const takeBytes = (bytes: number): Buffer => {
    if (offset + bytes > block.length) {
      block = randomBytes(Math.max(BLOCK_BYTES, bytes));
      offset = 0;
    }
    offset += bytes;
    return block.subarray(offset - bytes, offset);
  };
  const next = () => takeBytes(6).readUIntBE(0, 6) / 2 ** 48;
  return {
    next,
    nextInt: bound => Math.floor(next() * bound),
    nextHex: bytes => takeBytes(bytes).toString('hex'),
  };
}
