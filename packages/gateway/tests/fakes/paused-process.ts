/**
 * Pause of the process that runs a test.
 */

/**
 * Blocks this thread for `pauseMs` from within a timer, so that other due timers run next, and resolves when the
 * sockets that became readable meanwhile would be read.
 */
export async function pauseProcess(pauseMs: number): Promise<void> {
  await new Promise<void>((resolve) => {
    setTimeout(() => {
      const end = performance.now() + pauseMs;
      while (performance.now() < end);
      setTimeout(() => setImmediate(resolve), 0);
    }, 0);
  });
}
