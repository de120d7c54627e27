/**
 * Limits the number of log lines per event and second, and counts the lines it suppresses.
 */

/** Number of suppressed lines of one event. */
export interface SuppressedLines {
  readonly event: string;
  readonly lines: number;
}

interface EventWindow {
  startedAt: number;
  lines: number;
  suppressed: number;
}

/** Length of the window in which lines are counted, milliseconds. */
const WINDOW_MS = 1000;

/** Rate limiter for the log lines of one process. */
export class LogLimiter {
  private readonly windows = new Map<string, EventWindow>();

  /** @param maxLines maximum number of lines per event in one second */
  constructor(private readonly maxLines: number) {}

  /** Whether a line of `event` may be written at `now`. */
  allows(event: string, now: number): boolean {
    const window = this.windowOf(event, now);
    window.lines += 1;
    if (window.lines <= this.maxLines) return true;
    window.suppressed += 1;
    return false;
  }

  /** Returns the lines suppressed since the last call. */
  takeSuppressed(): readonly SuppressedLines[] {
    const suppressedLines: SuppressedLines[] = [];
    for (const [event, window] of this.windows) {
      if (window.suppressed > 0) suppressedLines.push({ event, lines: window.suppressed });
      window.suppressed = 0;
    }
    return suppressedLines;
  }

  private windowOf(event: string, now: number): EventWindow {
    const current = this.windows.get(event);
    if (current === undefined) {
      const window = { startedAt: now, lines: 0, suppressed: 0 };
      this.windows.set(event, window);
      return window;
    }
    if (now - current.startedAt >= WINDOW_MS) {
      current.startedAt = now;
      current.lines = 0;
    }
    return current;
  }
}
