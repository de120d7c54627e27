/**
 * Structured log lines through `debug`: one line of key=value pairs an event.
 */
import { format } from 'node:util';
import createDebug from 'debug';
import { LogLimiter } from './log-limiter.js';
import { LogOutput } from './log-output.js';

/** Values of a log line; undefined fields are left out. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes events of one component. */
export interface Logger {
  /** Ordinary events, namespace `gladespool:<component>:info`. */
  info(event: string, fields?: LogFields): void;
  /** Faults that an operator should see, namespace `gladespool:<component>:warn`. */
  warn(event: string, fields?: LogFields): void;
  /** Details for developers; off by default, namespace `gladespool:<component>:trace`. */
  trace(event: string, fields?: LogFields): void;
}

/** Namespaces enabled when the DEBUG environment variable is not set. */
export const DEFAULT_NAMESPACES = 'gladespool:*:info,gladespool:*:warn';

/** Lines of one kind of event in a second at most; a played day reached 29 KB in its worst second. */
const MAX_LINES_OF_EVENT = 30;
/** Time between two reports of lines left out, milliseconds. */
const REPORT_INTERVAL_MS = 1000;
/** Descriptor of standard output. */
const STANDARD_OUTPUT = 1;

let limiter: LogLimiter | undefined;

const NEEDS_QUOTES = /[\s"=]|^$/;

/** Formats one event as a line of key=value pairs; values are quoted where needed. */
export function formatEvent(event: string, fields: LogFields = {}): string {
  const pairs = Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${quote(String(value))}`);
  return [`event=${quote(event)}`, ...pairs].join(' ');
}

function quote(text: string): string {
  return NEEDS_QUOTES.test(text) ? JSON.stringify(text) : text;
}

/** Creates the logger of a component; `common` fields stand in each of its lines. */
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
 * Sends every line to standard output, bounded in volume and without waiting for its reader; once a
 * second a line tells what was left out.
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

/** Enables the default namespaces unless the environment chose others. */
export function enableDefaultLogs(environment: NodeJS.ProcessEnv): void {
  if (environment.DEBUG === undefined) createDebug.enable(DEFAULT_NAMESPACES);
}
