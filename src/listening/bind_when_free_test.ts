import { test } from "uvu";
import * as assert from "uvu/assert";
import { ManualClock } from "../testing/manual_clock.ts";
import { bindWhenFree } from "./bind_when_free.ts";

function createError(code: string): Error {
  return Object.assign(new Error(code), { code });
}

/** Binds with simulated time until done; `failures` are the codes of the first attempts. */
async function run(
  failures: readonly string[],
  { timeoutMs, cancelAtMs = Number.POSITIVE_INFINITY }: {
    readonly timeoutMs?: number;
    readonly cancelAtMs?: number;
  } = {},
) {
  const clock = new ManualClock();
  const startedAtMs = clock.monotonicMs();
  let attempts = 0;
  let reports = 0;
  let outcome: boolean | string | undefined;
  void bindWhenFree(() => {
    const code = failures[attempts];
    attempts += 1;
    return code === undefined
      ? Promise.resolve()
      : Promise.reject(createError(code));
  }, {
    clock,
    ...timeoutMs !== undefined && { timeoutMs },
    reportRetry: () => reports += 1,
    isCancelled: () => clock.monotonicMs() - startedAtMs >= cancelAtMs,
  }).then(
    (isBound) => outcome = isBound,
    ({ message }) => outcome = String(message),
  );
  while (outcome === undefined) {
    await new Promise((resolve) => setImmediate(resolve));
    if (outcome === undefined) {
      clock.advance(50);
    }
  }
  const tookMs = clock.monotonicMs() - startedAtMs;
  return { outcome, attempts, reports, tookMs };
}

test("an address that becomes free is bound", async () => {
  const { outcome, attempts, reports } = await run([
    "EADDRINUSE",
    "EADDRNOTAVAIL",
  ]);
  assert.equal({ outcome, attempts, reports }, {
    ...{ outcome: true, attempts: 3, reports: 1 },
  });
});

test("an address that stays in use fails after the timeout", async () => {
  const failures = Array.from({ length: 1_000 }, () => "EADDRINUSE");
  const { outcome, tookMs, reports } = await run(failures, {
    timeoutMs: 10_000,
  });
  assert.is(outcome, "EADDRINUSE");
  assert.ok(tookMs >= 10_000 && tookMs <= 10_600, `${tookMs}`);
  assert.is(reports, 2);
});

test("any other error fails at once", async () => {
  const { outcome, attempts } = await run(["EACCES"]);
  assert.equal({ outcome, attempts }, { outcome: "EACCES", attempts: 1 });
});

test("a stop ends the attempts", async () => {
  const failures = Array.from({ length: 1_000 }, () => "EADDRINUSE");
  const { outcome } = await run(failures, { cancelAtMs: 1_000 });
  assert.is(outcome, false);
});

test.run();
