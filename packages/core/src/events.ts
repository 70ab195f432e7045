import {Logger} from 'tslog';

/** Severity of a log event. */
export type EventLevel = 'debug' | 'info' | 'warn' | 'error';

/** Log events by name. A test compares `docs/EVENTS.md` with this table. */
export const LOG_EVENTS = {
  hostStarted: {number: 1000, level: 'info', text: 'host started'},
  hostStopping: {number: 1001, level: 'info', text: 'graceful shutdown started'},
  hostStopped: {number: 1002, level: 'info', text: 'graceful shutdown finished'},
  settingInvalid: {number: 1003, level: 'error', text: 'setting is missing or invalid'},
  invariantViolated: {number: 1004, level: 'error', text: 'invariant violated'},
  platformUnreachable: {number: 1100, level: 'warn', text: 'platform is not reachable'},
  platformReachable: {number: 1101, level: 'info', text: 'platform is reachable again'},
  sessionStarted: {number: 1110, level: 'info', text: 'host session started'},
  sessionLost: {number: 1111, level: 'warn', text: 'host session lost'},
  roleAcquired: {number: 1120, level: 'info', text: 'role acquired'},
  roleLost: {number: 1121, level: 'warn', text: 'role lost'},
  roleReleased: {number: 1122, level: 'info', text: 'role released'},
  configApplied: {number: 1200, level: 'info', text: 'configuration applied'},
  configRejected: {number: 1201, level: 'error', text: 'configuration object rejected'},
  configStale: {number: 1202, level: 'warn', text: 'configuration is not fresh'},
  configFresh: {number: 1203, level: 'info', text: 'configuration is fresh again'},
  requestFinished: {number: 1300, level: 'info', text: 'request finished'},
  requestRefused: {number: 1301, level: 'info', text: 'request refused'},
  attemptFailed: {number: 1302, level: 'warn', text: 'attempt failed'},
  streamResumed: {number: 1303, level: 'info', text: 'stream resumed'},
  requestLost: {number: 1304, level: 'warn', text: 'request ended without a complete answer'},
  shardAcquired: {number: 1400, level: 'info', text: 'shard acquired'},
  shardLost: {number: 1401, level: 'warn', text: 'shard lost'},
  peerUnreachable: {number: 1500, level: 'warn', text: 'peer is not reachable'},
  peerReachable: {number: 1501, level: 'info', text: 'peer is reachable again'},
  orderSent: {number: 1600, level: 'info', text: 'order sent'},
  orderFinished: {number: 1601, level: 'info', text: 'order finished'},
  orderFailed: {number: 1602, level: 'warn', text: 'order failed'},
  usageFrozen: {number: 1700, level: 'info', text: 'usage window frozen'},
  usageReported: {number: 1701, level: 'info', text: 'usage window reported'},
  dependencyLost: {number: 1800, level: 'warn', text: 'calls to a dependency fail'},
  dependencyRegained: {number: 1801, level: 'info', text: 'calls to a dependency succeed again'},
  settingsReloaded: {number: 1802, level: 'info', text: 'settings file read again'},
  targetsChanged: {number: 1810, level: 'info', text: 'list of targets changed'},
  entryRejected: {number: 1811, level: 'warn', text: 'entry of a target can not be used'},
  hostsChanged: {number: 1812, level: 'info', text: 'list of ready hosts changed'},
  sharedReadFailed: {number: 1813, level: 'warn', text: 'read of the store not shared'},
  recordNotRelayed: {
    number: 1814,
    level: 'warn',
    text: 'record of this host not written by another',
  },
  targetLeaving: {number: 1815, level: 'info', text: 'target has said that it leaves'},
  targetBackoff: {number: 1816, level: 'info', text: 'target has asked for a pause'},
  targetCold: {number: 1818, level: 'info', text: 'target is cold and takes few requests'},
  evacuationStarted: {
    number: 1819,
    level: 'warn',
    text: 'targets of a failure domain get no requests',
  },
  quotaFallback: {number: 1820, level: 'warn', text: 'quota decided without its owner'},
  evacuationEnded: {
    number: 1821,
    level: 'info',
    text: 'targets of a failure domain get requests again',
  },
  homeRegionUnknown: {
    number: 1822,
    level: 'warn',
    text: 'home regions name a region without failure domains',
  },
  leaseAcquired: {number: 1830, level: 'info', text: 'fleet lease acquired'},
  leaseLost: {number: 1831, level: 'warn', text: 'fleet lease lost'},
  targetCrashed: {number: 1850, level: 'warn', text: 'target crashed with runs in progress'},
  promptQuarantined: {
    number: 1851,
    level: 'error',
    text: 'prompt parts crash engines and are refused',
  },
  promptQuarantineEnded: {number: 1852, level: 'info', text: 'prompt parts are served again'},
  promptProbed: {number: 1853, level: 'info', text: 'request tries quarantined prompt parts'},
  requestQuarantined: {
    number: 1854,
    level: 'error',
    text: 'request crashes targets and is refused',
  },
  requestQuarantineEnded: {number: 1855, level: 'info', text: 'request is served again'},
  requestProbed: {number: 1856, level: 'info', text: 'quarantined request is tried'},
  clientLimited: {
    number: 1860,
    level: 'warn',
    text: 'client has exceeded a bound for the first time',
  },
  configLost: {
    number: 1204,
    level: 'warn',
    text: 'store has an older configuration than this host',
  },
  usageRestored: {number: 1703, level: 'warn', text: 'usage window written to the store again'},
  storeRestored: {number: 1803, level: 'warn', text: 'store came back from an older copy'},
  clockJudged: {number: 1817, level: 'warn', text: 'estimate of the time of day corrected'},
  linesDropped: {number: 1840, level: 'warn', text: 'log lines left out'},
  usageReportFailed: {number: 1702, level: 'warn', text: 'usage report failed'},
} as const satisfies Record<string, {number: number; level: EventLevel; text: string}>;

export type LogEventName = keyof typeof LOG_EVENTS;

/** Fields of a log event. They must never contain API keys or key digests. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Writes the events of {@link LOG_EVENTS}. */
export interface EventLog {
  write(event: LogEventName, fields?: LogFields): void;
}

/** Options of {@link createEventLog}. */
export interface EventLogOptions {
  readonly format: 'json' | 'pretty';
  readonly minLevel: EventLevel;
  /** Receives each line; by default, lines are written to standard error. */
  readonly writeLine?: (line: string, level: EventLevel) => void;
}

/** Options of {@link createBoundedWriter}. */
export interface BoundedWriterOptions {
  /** Maximum number of lines written per second; further lines are dropped and counted. */
  readonly maxLinesPerSecond: number;
  /** Number of lines per second that are written beyond the maximum if they are warnings or errors. */
  readonly reservedLinesPerSecond: number;
  readonly nowMs: () => number;
  readonly write: (line: string) => void;
  /** Whether the destination still has buffered lines to write; new lines are then dropped. */
  readonly isBlocked: () => boolean;
}

const MS_PER_SECOND = 1000;

/**
 * Creates a line writer that limits the rate of lines and never waits for its destination. The next
 * line that is written is preceded by a `linesDropped` event with the number of dropped lines.
 */
export function createBoundedWriter(
  options: BoundedWriterOptions,
): (line: string, level: EventLevel) => void {
  let secondStartMs = -Infinity;
  let linesThisSecond = 0;
  let dropped = 0;
  return (line, level) => {
    const nowMs = options.nowMs();
    if (nowMs - secondStartMs >= MS_PER_SECOND) {
      secondStartMs = nowMs;
      linesThisSecond = 0;
    }
    const isSevere = level === 'warn' || level === 'error';
    const maxLines = options.maxLinesPerSecond + (isSevere ? options.reservedLinesPerSecond : 0);
    if (linesThisSecond >= maxLines || options.isBlocked()) {
      dropped++;
      return;
    }
    if (dropped > 0) {
      const {number, text} = LOG_EVENTS.linesDropped;
      options.write(JSON.stringify({event: number, name: 'linesDropped', text, dropped}) + '\n');
      dropped = 0;
    }
    linesThisSecond++;
    options.write(line);
  };
}

const TSLOG_LEVELS: Record<EventLevel, number> = {debug: 2, info: 3, warn: 4, error: 5};

/**
 * Creates an event log. It writes to standard error by default, which leaves standard output to the
 * results of commands.
 */
export function createEventLog(options: EventLogOptions): EventLog {
  const writeLine = options.writeLine ?? (line => process.stderr.write(line));
  let currentLevel: EventLevel = 'info';
  const logger = new Logger({
    type: options.format,
    minLevel: TSLOG_LEVELS[options.minLevel],
    hideLogPositionForProduction: true,
    overwrite: {
      transportJSON: json => writeLine(JSON.stringify(json) + '\n', currentLevel),
      transportFormatted: (meta, args) => {
        writeLine(meta + args.map(arg => JSON.stringify(arg)).join(' ') + '\n', currentLevel);
      },
    },
  });
  return {
    write: (event, fields = {}) => {
      const {number, level, text} = LOG_EVENTS[event];
      currentLevel = level;
      logger[level]({event: number, name: event, text, ...fields});
    },
  };
}

/** An event log that discards all events, for benchmarks and tests. */
export const SILENT_LOG: EventLog = {write: () => undefined};
