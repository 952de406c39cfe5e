import { err } from "neverthrow";
import type { Result } from "neverthrow";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import VError from "verror";
import { createRecordingLogger } from "../testing/create_recording_logger.ts";
import { ManualClock } from "../testing/manual_clock.ts";
import { RandomSource } from "../time/mod.ts";
import { ConfigurationSource } from "./configuration_source.ts";
import { StorePoller } from "./store_poller.ts";

const test = suite("store poller");

const DESTROYED = new VError(
  { info: { reason: "connection" } },
  "The client is destroyed",
);

/** A source whose calls end by `fail` only. */
class HeldSource extends ConfigurationSource {
  fail: () => void = () => undefined;

  override read(): Promise<Result<undefined, VError>> {
    return new Promise((resolve) => {
      this.fail = () => resolve(err(DESTROYED));
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
  const poller = new StorePoller({
    ...{ source, clock, log, random: new RandomSource(3) },
  });
  return { clock, lines, poller, source };
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
    source.fail();
    await new Promise((resolve) => setImmediate(resolve));
    clock.advance(5_000);
    await polled;
    assert.is(lines.length, isStopping ? 0 : 1);
  });
}

test.run();
