import {createSeededRandom, TargetId, toId, VirtualClock} from '@radishgw/core';
import {Pool, RequestQueue} from '@radishgw/scheduling';
import {DEFAULT_ENGINE, FakeEngine} from './fake-engine.js';
import {RequestRecord, ServingOptions} from './serving-types.js';
import {SimHost} from './sim-host.js';
import {replayTrace} from './traces.js';

export * from './serving-types.js';

/** A running simulation. */
export interface ServingSim {
  readonly clock: VirtualClock;
  readonly engines: readonly FakeEngine[];
  readonly hosts: readonly {readonly queue: RequestQueue; readonly pool: Pool}[];
  readonly records: readonly RequestRecord[];
}

/** Runs a trace through hosts and fake engines. */
export function runServing(options: ServingOptions): ServingSim {
  const clock = new VirtualClock();
  const random = createSeededRandom(options.seed * 7919 + 13);
  const engineOptions = {...DEFAULT_ENGINE, ...options.engine};
  const engines = Array.from(
    {length: options.targets},
    (_, i) =>
      new FakeEngine(
        `engine-${i}`,
        clock,
        createSeededRandom(options.seed * 7919 + 100 + i),
        engineOptions,
      ),
  );
  const byId = new Map(engines.map(engine => [toId<TargetId>(engine.id), engine]));
  const hosts = Array.from(
    {length: options.hosts ?? 1},
    (_, i) => new SimHost(`host-${i}`, clock, byId, random, options),
  );
  const onceRandom = createSeededRandom(options.seed + 5);
  const records: RequestRecord[] = [];
  const sim: ServingSim = {clock, engines, hosts, records};
  options.prepare?.(clock, engines);
  const expireAll = () => {
    for (const host of hosts) host.expire();
    clock.setTimer(1000, expireAll);
  };
  expireAll();
  replayTrace(clock, options.arrivals, arrival => {
    const record: RequestRecord = {
      arrival,
      isIdempotent: onceRandom.next() >= (options.onceShare ?? 0),
      outcome: 'pending',
      attempts: 0,
      dispatchedMs: undefined,
      hedges: 0,
      firstTokenMs: undefined,
      lastTokenMs: undefined,
      generated: 0,
    };
    records.push(record);
    // Callers keep to one address for seconds, but over many callers the hosts get equal shares.
    hosts[random.nextInt(hosts.length)].accept(record);
  });
  clock.runUntil(options.endMs);
  return sim;
}
