/**
 * Caps the lines of each kind of event a second, and counts what it leaves out.
 */

/** Lines of one event that were left out. */
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

/** Limiter of one process. */
export class LogLimiter {
  private readonly windows = new Map<string, EventWindow>();

  /** @param maxLines lines of one event in a second at most */
  constructor(private readonly maxLines: number) {}

  /** Whether a line of `event` may be written at `now`. */
  allows(event: string, now: number): boolean {
    const window = this.windowOf(event, now);
    window.lines += 1;
    if (window.lines <= this.maxLines) return true;
    window.suppressed += 1;
    return false;
  }

  /** What was left out since the last call. */
  takeSuppressed(): readonly SuppressedLines[] {
    const found: SuppressedLines[] = [];
    for (const [event, window] of this.windows) {
      if (window.suppressed > 0) found.push({ event, lines: window.suppressed });
      window.suppressed = 0;
    }
    return found;
  }

  private windowOf(event: string, now: number): EventWindow {
    const held = this.windows.get(event);
    if (held === undefined) {
      const window = { startedAt: now, lines: 0, suppressed: 0 };
      this.windows.set(event, window);
      return window;
    }
    if (now - held.startedAt >= WINDOW_MS) {
      held.startedAt = now;
      held.lines = 0;
    }
    return held;
  }
}
