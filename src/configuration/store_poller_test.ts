import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import VError from "verror";
import { DecisionJournal } from "../telemetry/mod.ts";
import { createRecordingLogger } from "../testing/create_recording_logger.ts";
import { ManualClock } from "../testing/manual_clock.ts";
import { RandomSource } from "../time/mod.ts";
import { ConfigurationHolder } from "./configuration_holder.ts";
import { ConfigurationProgress } from "./configuration_progress.ts";
import { ConfigurationSource } from "./configuration_source.ts";
import { StorePoller } from "./store_poller.ts";

const test = suite("store poller");

const DESTROYED = new VError(
  { info: { reason: "connection" } },
  "The client is destroyed",
);

/** A source whose calls end by `answer` only. */
class HeldSource extends ConfigurationSource {
  answer: (result: Result<undefined, VError>) => void = () => undefined;

  override read(): Promise<Result<undefined, VError>> {
    return new Promise((resolve) => {
      this.answer = resolve;
    });
  }

  override watch(): Promise<Result<undefined, VError>> {
    return this.read();
  }
}

function createBench() {
  const source = new HeldSource();
  const { log, lines } = createRecordingLogger();
  const clock = new ManualClock();
  const holder = new ConfigurationHolder();
  const journal = new DecisionJournal(clock);
  const progress = new ConfigurationProgress({ holder, clock, log, journal });
  const poller = new StorePoller({
    ...{ source, progress, clock, log, random: new RandomSource(3) },
  });
  return { clock, lines, poller, progress, source };
}

// The end of a daemon's own watch was read as an outage of the store.
for (const isStopping of [false, true]) {
  test(`a call that ends ${isStopping ? "by the daemon's stop" : "otherwise"} is ${isStopping ? "not " : ""}logged as an outage`, async () => {
    const { clock, lines, poller, source } = createBench();
    const stop = new AbortController();
    const polled = poller.poll(() => Promise.resolve(true), stop.signal);
    if (isStopping) {
      stop.abort();
    }
    source.answer(err(DESTROYED));
    await new Promise((resolve) => setImmediate(resolve));
    clock.advance(5_000);
    await polled;
    assert.is(lines.length, isStopping ? 0 : 1);
  });
}

// "Not ready" was the same for a store that is empty and for one out of reach.
test("the reason for having no configuration follows the answers of the store", async () => {
  const { clock, poller, progress, source } = createBench();
  const { signal } = new AbortController();
  const reasons = [progress.explainMissing().reason];
  for (const answer of [ok(undefined), err(DESTROYED), ok(undefined)]) {
    const polled = poller.poll(() => Promise.resolve(true), signal);
    source.answer(answer);
    await new Promise((resolve) => setImmediate(resolve));
    clock.advance(5_000);
    await polled;
    reasons.push(progress.explainMissing().reason);
  }
  assert.equal(reasons, [
    ...["store-not-read", "none-stored", "store-unavailable", "none-stored"],
  ]);
});

test.run();
