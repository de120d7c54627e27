/**
 * Structured logging through `debug`: one line of key=value pairs per event.
 */
import { format } from 'node:util';
import createDebug from 'debug';
import { LogLimiter } from './log-limiter.js';
import { LogOutput } from './log-output.js';

/** Fields of a log line; undefined fields are omitted. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Logs the events of one component. */
export interface Logger {
  /** Regular events, namespace `gladespool:<component>:info`. */
  info(event: string, fields?: LogFields): void;
  /** Faults that operators should notice, namespace `gladespool:<component>:warn`. */
  warn(event: string, fields?: LogFields): void;
  /** Details for developers; off by default, namespace `gladespool:<component>:trace`. */
  trace(event: string, fields?: LogFields): void;
}

/** Namespaces enabled when the DEBUG environment variable is not set. */
export const DEFAULT_NAMESPACES = 'gladespool:*:info,gladespool:*:warn';

/** Maximum number of lines per event and second. The worst second of a simulated day took 29 KB of lines. */
const MAX_LINES_OF_EVENT = 30;
/** Interval between reports of dropped and suppressed lines, milliseconds. */
const REPORT_INTERVAL_MS = 1000;
/** File descriptor of standard output. */
const STANDARD_OUTPUT = 1;

let limiter: LogLimiter | undefined;

const NEEDS_QUOTES = /[\s"=]|^$/;

/** Formats an event as a line of key=value pairs; values are quoted where needed. */
export function formatEvent(event: string, fields: LogFields = {}): string {
  const pairs = Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${quote(String(value))}`);
  return [`event=${quote(event)}`, ...pairs].join(' ');
}

function quote(text: string): string {
  return NEEDS_QUOTES.test(text) ? JSON.stringify(text) : text;
}

/** Creates the logger of a component; `common` fields are added to each of its lines. */
export function createLogger(component: string, common: LogFields = {}): Logger {
  const write = (level: string) => {
    const sink = createDebug(`gladespool:${component}:${level}`);
    return (event: string, fields: LogFields = {}): void => {
      if (!sink.enabled || limiter?.allows(event, performance.now()) === false) return;
      sink('%s', formatEvent(event, { ...common, ...fields }));
    };
  };
  return { info: write('info'), warn: write('warn'), trace: write('trace') };
}

/**
 * Directs all log lines to standard output, rate-limited and without blocking on its reader. Once a second, logs how
 * many lines were dropped or suppressed.
 */
export function installLogOutput(): void {
  const output = new LogOutput(STANDARD_OUTPUT);
  const ownLimiter = new LogLimiter(MAX_LINES_OF_EVENT);
  limiter = ownLimiter;
  createDebug.log = (line: string, ...rest: unknown[]) => {
    output.write(rest.length === 0 ? line : format(line, ...rest));
  };
  const log = createLogger('log');
  const timer = setInterval(() => {
    const lost = output.takeDropped();
    if (lost > 0) log.warn('lines-lost', { lines: lost });
    for (const { event, lines } of ownLimiter.takeSuppressed()) {
      log.info('lines-suppressed', { of: event, lines });
    }
  }, REPORT_INTERVAL_MS);
  timer.unref();
}

/** Enables the default namespaces unless the environment selects others. */
export function enableDefaultLogs(environment: NodeJS.ProcessEnv): void {
  if (environment.DEBUG === undefined) createDebug.enable(DEFAULT_NAMESPACES);
}
