/** Time on the monotonic clock of the script. */

/** Milliseconds since the start of the script. */
export function now(): number {
  return performance.now();
}

/** Waits for a time, in milliseconds. */
export function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, Math.max(0, durationMs)));
}

/** Waits until a point in time, in milliseconds since the start of the script. */
export function sleepUntil(atMs: number): Promise<void> {
  return sleep(atMs - now());
}

/** Waits for a condition; throws if it does not hold in time. */
export async function waitFor(
  what: string,
  check: () => boolean | Promise<boolean>,
  timeoutMs: number,
): Promise<void> {
  const endMs = now() + timeoutMs;
  while (!await check()) {
    if (now() > endMs) {
      throw new Error(`${what}: not within ${timeoutMs} ms`);
    }
    await sleep(20);
  }
}
