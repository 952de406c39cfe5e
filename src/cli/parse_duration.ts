/**
 * Parsing of durations such as `30s` or `5m`.
 */

const UNIT_MS: Readonly<Record<string, number>> = {
  ms: 1,
  s: 1_000,
  m: 60_000,
  h: 3_600_000,
};

/**
 * Parses a duration that consists of an integer and a unit (ms, s, m or h).
 *
 * @param text - A duration such as 250ms, 30s, 5m or 2h
 * @returns The duration in milliseconds, or undefined if the text is not a duration
 *
 * @example
 * parseDuration("5m"); // 300000
 */
export function parseDuration(text: string): number | undefined {
  const [, count = "", unit = ""] = /^(\d+)(ms|s|m|h)$/.exec(text) ?? [];
  const unitMs = UNIT_MS[unit];
  return unitMs === undefined ? undefined : Number(count) * unitMs;
}
