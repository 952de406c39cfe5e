/**
 * Formatting of durations such as `3m 5s`.
 */

const MS_PER_SECOND = 1_000;
const SECONDS_PER_MINUTE = 60;
const MINUTES_PER_HOUR = 60;

/**
 * Formats a duration in its two largest units, at most hours.
 *
 * @param durationMs - The duration, in milliseconds
 * @returns The duration as text
 *
 * @example
 * formatDuration(185_000); // "3m 5s"
 */
export function formatDuration(durationMs: number): string {
  const seconds = Math.floor(durationMs / MS_PER_SECOND);
  const minutes = Math.floor(seconds / SECONDS_PER_MINUTE);
  const hours = Math.floor(minutes / MINUTES_PER_HOUR);
  if (minutes === 0) {
    return `${seconds}s`;
  }
  return hours === 0
    ? `${minutes}m ${seconds % SECONDS_PER_MINUTE}s`
    : `${hours}h ${minutes % MINUTES_PER_HOUR}m`;
}
