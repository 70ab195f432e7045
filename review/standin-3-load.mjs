/* global performance, setTimeout */
/** Hosts that are started again when they end, and ordinary traffic at them. */
import {connect} from 'node:net';
import * as rig from './standin-3.mjs';

const RESTART_DELAY_MS = 500;
const DESK_SERVERS = 4;
const DESK_CONNECTIONS = 8;
const DESK_WORK_MS = 86;
const DESK_PAUSE_MS = 50;

const STREAM_HEADERS = {
  'Radishgw-Deadline-Milliseconds': '5000',
  'Radishgw-Model': 'm',
  'Radishgw-Token-Counts': '1460,16',
};

/** Two hosts under traffic; counts how often their processes end by themselves. */
export class LoadedHosts {
  ends = new Map();
  statuses = new Map();
  /** Orders that were passed on to a sound server from a kept connection and then cut off. */
  cutOrders = 0;
  wholeOrders = 0;
  isOver = false;
  running = new Set();
  streamCount = 0;

  constructor(record, store, duties) {
    this.record = record;
    this.store = store;
    this.duties = duties;
  }

  async start() {
    for (let i = 0; i < DESK_SERVERS; i++) {
      const server = await new rig.RawServer((request, socket) => {
        this.running.add(request.headers['radishgw-request-id']);
        setTimeout(() => socket.write(rig.formatAnswer(request)), DESK_WORK_MS);
      }).start();
      this.store.write('servers', `d-${i}`, rig.serverEntry('desk', server.address, {slots: 6}));
    }
    const addresses = {
      storeAddress: this.store.address,
      dutyAddress: this.duties.address,
      zones: rig.ZONES,
    };
    this.hosts = [
      await rig.startHost('front-a-1', {...addresses, zone: 'zone-a'}),
      await rig.startHost('front-b-1', {...addresses, zone: 'zone-b'}),
    ];
    await rig.untilReady(this.hosts);
    for (const host of this.hosts) {
      this.ends.set(host.name, 0);
      void this.keepRunning(host);
      for (let i = 0; i < DESK_CONNECTIONS; i++) void this.sendOrders(host);
    }
  }

  /** Starts the process of a host again when it has ended, as the platform does. */
  async keepRunning(host) {
    for (; !this.isOver; await rig.wait(20)) {
      if (!host.ended) continue;
      this.ends.set(host.name, this.ends.get(host.name) + 1);
      const detail = /FATAL ERROR: .*/.exec(host.errors)?.[0] ?? host.errors.slice(0, 200);
      this.record.write(`${host.name} ended by itself: ${JSON.stringify(host.ended)} ${detail}`);
      await rig.wait(RESTART_DELAY_MS);
      if (!this.isOver) rig.restartHost(host);
    }
  }

  /** Waits until processes that have ended run again. */
  async untilRunning() {
    await rig.wait(RESTART_DELAY_MS + 200);
    await rig.untilReady(this.hosts);
  }

  /** Sends orders one after the other on a kept connection; opens another one when it is closed. */
  async sendOrders(host) {
    for (; !this.isOver; await rig.wait(100)) {
      const socket = connect(host.front, '127.0.0.1');
      let isOpen = true;
      let text = '';
      let settle = () => undefined;
      socket.on('error', () => undefined);
      socket.on('close', () => {
        isOpen = false;
        settle();
      });
      socket.on('data', chunk => {
        text += chunk.toString('latin1');
        const end = text.indexOf('\r\n\r\n');
        const length = Number(/content-length: (\d+)/i.exec(text)?.[1]);
        if (end >= 0 && text.length >= end + 4 + length) settle();
      });
      for (let count = 0; isOpen && !this.isOver; count++) {
        const id = rig.newRequestId();
        text = '';
        const settled = new Promise(resolve => (settle = resolve));
        socket.write(rig.formatRequest('/order/x', {id, body: 'order'}));
        await settled;
        if (isOpen) this.wholeOrders++;
        else if (count > 0 && this.running.has(id) && !this.isOver) this.cutOrders++;
        await rig.wait(DESK_PAUSE_MS);
      }
      socket.destroy();
    }
  }

  /** Sends streams to both hosts at a rate, and waits until they have ended. */
  async sendStreams(perSecond, durationMs) {
    const pending = [];
    const startMs = performance.now();
    for (let sent = 0; performance.now() - startMs < durationMs; await rig.wait(5)) {
      for (; sent < ((performance.now() - startMs) / 1000) * perSecond; sent++) {
        const count = this.streamCount++;
        const parts = `aa${count % 5}:350,bb${count}:1110`;
        const headers = {...STREAM_HEADERS, 'Radishgw-Prompt-Prefix': parts};
        const path = count % 2 === 0 ? '/suggest/x' : '/check/x';
        const host = this.hosts[count % 4 < 2 ? 0 : 1];
        pending.push(rig.send(host, path, {headers, body: 'prompt', timeoutMs: 6000}));
      }
    }
    for (const {status, how} of await Promise.all(pending)) {
      const key = status > 0 ? String(status) : how;
      this.statuses.set(key, (this.statuses.get(key) ?? 0) + 1);
    }
  }

  /** Whether the process of each host has ended by itself three times or more. */
  get isBroken() {
    return [...this.ends.values()].every(count => count >= 3);
  }

  /** Ends the run and records its results. */
  finish() {
    this.isOver = true;
    const {record} = this;
    record.write(`streams by status: ${JSON.stringify(Object.fromEntries(this.statuses))}`);
    record.write(`orders answered: ${this.wholeOrders}`);
    record.write(`orders passed on from kept connections and cut off: ${this.cutOrders}`);
    record.write(`processes that ended: ${JSON.stringify(Object.fromEntries(this.ends))}`);
  }
}
