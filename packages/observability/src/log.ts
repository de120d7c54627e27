/**
 * Structured log lines through `debug`: one line of key=value pairs an event.
 */
import createDebug from 'debug';

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
      if (sink.enabled) sink('%s', formatEvent(event, { ...common, ...fields }));
    };
  };
  return { info: write('info'), warn: write('warn'), trace: write('trace') };
}

/** Enables the default namespaces unless the environment chose others. */
export function enableDefaultLogs(environment: NodeJS.ProcessEnv): void {
  if (environment.DEBUG === undefined) createDebug.enable(DEFAULT_NAMESPACES);
}
