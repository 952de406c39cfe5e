import { test } from "uvu";
import * as assert from "uvu/assert";
import { LineWriter } from "./line_writer.ts";
import type { WriteBytes } from "./line_writer.ts";

function createSink() {
  let text = "";
  const waiting: (() => void)[] = [];
  const write: WriteBytes = (bytes, done) => {
    waiting.push(() => {
      const part = bytes.subarray(0, 7);
      text += new TextDecoder().decode(part);
      done(null, part.length);
    });
  };
  return {
    write,
    readText: () => text,
    async drain() {
      for (let step = waiting.shift(); step; step = waiting.shift()) {
        step();
        await Promise.resolve();
      }
    },
  };
}

test("lines are written completely and in order despite partial writes", async () => {
  const sink = createSink();
  const writer = new LineWriter(sink.write);
  ["first line", "second", "third one"].forEach((line) => writer.add(line));
  const finished = writer.flush();
  await sink.drain();
  await finished;
  assert.is(sink.readText(), "first line\nsecond\nthird one\n");
});

test("a flush waits for the batch being written and starts no second write", async () => {
  const pending: (() => void)[] = [];
  const writer = new LineWriter((bytes, done) => {
    pending.push(() => done(null, bytes.length));
  });
  writer.add("first");
  let flushes = 0;
  const finished = [writer.flush(), writer.flush()].map((flush) =>
    flush.then(() => flushes += 1)
  );
  writer.add("second");
  await Promise.resolve();
  assert.is(pending.length, 1);
  assert.is(flushes, 0);
  pending[0]?.();
  await Promise.resolve();
  assert.is(pending.length, 2);
  assert.is(flushes, 0);
  pending[1]?.();
  await Promise.all(finished);
  assert.is(flushes, 2);
});

test("a stalled reader causes dropped lines, not unbounded memory", () => {
  const writer = new LineWriter(() => undefined);
  Array.from({ length: 10_000 }, () => writer.add("x".repeat(100)));
  assert.ok(writer.droppedLines > 5_000);
});

test("a write that would block is retried", async () => {
  let attempts = 0;
  const writer = new LineWriter((bytes, done) => {
    attempts += 1;
    const blocked = Object.assign(new Error("blocked"), { code: "EAGAIN" });
    done(attempts === 1 ? blocked : null, bytes.length);
  });
  const keepAlive = setInterval(() => undefined, 1_000);
  writer.add("line");
  await writer.flush();
  clearInterval(keepAlive);
  assert.is(attempts, 2);
});

// Guards against a process that never exits, or exits with an error, because nobody reads its output.
test("a flush ends although the reader takes nothing", async () => {
  const writes: Uint8Array[] = [];
  const writer = new LineWriter((bytes) => writes.push(bytes));
  writer.add("line");
  await writer.flush();
  assert.is(writes.length, 1);
});

test.run();
