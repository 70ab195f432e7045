import {expect} from 'chai';
import fc from 'fast-check';
import {BodyBlocks, ClientAccount, ClientMemory, deriveClientBounds} from '../src/index.js';

const MAX_BYTES = 1_000_000;

/** Steps of clients: an account grows, runs, or ends; time passes. */
const steps = fc.array(
  fc.record({
    account: fc.nat(9),
    action: fc.constantFrom('grow', 'keep', 'release', 'wait'),
    bytes: fc.nat(MAX_BYTES / 2),
  }),
  {maxLength: 200},
);

describe('ClientMemory', () => {
  it('never exceeds its bound, evicts no request that runs, and frees all in the end', () => {
    // Guards against memory that is lost when clients leave, are refused, answered or evicted.
    fc.assert(
      fc.property(steps, list => {
        let nowMs = 0;
        const memory = new ClientMemory(MAX_BYTES, () => nowMs);
        const accounts = new Map<number, ClientAccount>();
        const find = (id: number) => {
          const existing = accounts.get(id);
          if (existing) return existing;
          const account: ClientAccount = memory.open(() => {
            expect(account.isKept).to.equal(false);
            accounts.delete(id);
          });
          accounts.set(id, account);
          return account;
        };
        for (const {account: id, action, bytes} of list) {
          const account = find(id);
          const heldBytes = account.heldBytes;
          if (action === 'grow') {
            const hasGrown = account.grow(bytes);
            expect(account.heldBytes).to.equal(hasGrown ? heldBytes + bytes : heldBytes);
          } else if (action === 'keep') account.keep();
          else if (action === 'wait') nowMs += bytes / 1000;
          else {
            account.release();
            expect(account.grow(1)).to.equal(false);
            accounts.delete(id);
          }
          const sum = [...accounts.values()].reduce((total, {heldBytes: held}) => total + held, 0);
          expect(memory.heldBytes).to.equal(sum);
          expect(sum).to.be.at.most(MAX_BYTES);
        }
        for (const account of accounts.values()) account.release();
        expect(memory.heldBytes).to.equal(0);
      }),
    );
  });

  it('evicts the account that holds the most for the longest time', () => {
    // Guards against slow clients within the limits that make room for those that stall.
    let nowMs = 0;
    const memory = new ClientMemory(MAX_BYTES, () => nowMs);
    const evicted: string[] = [];
    const open = (name: string, bytes: number) => {
      const account = memory.open(() => evicted.push(name));
      expect(account.grow(bytes)).to.equal(true);
      return account;
    };
    const slow = open('slow', 300_000);
    open('stalled', 300_000);
    open('running', 300_000).keep();
    nowMs = 1000;
    slow.grow(10_000);
    open('new', 200_000);
    expect(evicted).to.deep.equal(['stalled']);
  });

  it('refuses an account that grows beyond all others', () => {
    // Guards against a large body that drives out many small ones.
    const memory = new ClientMemory(MAX_BYTES, () => 0);
    const others = [1, 2, 3, 4].map(() => {
      const account = memory.open(() => undefined);
      account.grow(100_000);
      return account;
    });
    const large = memory.open(() => undefined);
    expect(large.grow(600_000)).to.equal(true);
    expect(large.grow(100_000)).to.equal(false);
    expect(others.map(({heldBytes}) => heldBytes)).to.deep.equal(Array(4).fill(100_000));
  });
});

describe('BodyBlocks', () => {
  it('returns what was added, in memory that it has reserved', () => {
    // Guards against bodies that are changed, or take more memory than is counted.
    const chunks = fc.array(fc.uint8Array({maxLength: 20_000}), {maxLength: 40});
    fc.assert(
      fc.property(chunks, list => {
        let reservedBytes = 0;
        const blocks = new BodyBlocks(bytes => {
          reservedBytes += bytes;
          return true;
        });
        for (const chunk of list) expect(blocks.push(Buffer.from(chunk))).to.equal(true);
        const {byteCount} = blocks;
        expect(blocks.take().equals(Buffer.concat(list))).to.equal(true);
        expect(reservedBytes).to.be.within(byteCount, 2 * byteCount + 4096 + 20_000);
      }),
      {numRuns: 50},
    );
  });
});

describe('deriveClientBounds', () => {
  it('keeps connections of clients below the limit of descriptors', () => {
    // Guards against clients that leave no descriptors for targets, the store and other hosts.
    expect(deriveClientBounds({fileDescriptors: 4100}).connections).to.equal(2340);
    expect(deriveClientBounds({fileDescriptors: 100}).connections).to.equal(16);
    expect(deriveClientBounds({memoryMb: 350}).memoryBytes).to.be.below(100 * 1024 * 1024);
  });
});
