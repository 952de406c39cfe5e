import { Buffer } from "node:buffer";
import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import * as assert from "uvu/assert";
import { test } from "uvu";
import { RandomSource } from "../time/mod.ts";
import { BodyBuffer } from "./body_buffer.ts";

/** Parts of the sizes that the random source draws. */
function createParts(random: RandomSource, maxBytes: number): Buffer[] {
  return Array.from({ length: 200 }, (_, index) => {
    const lengthBytes = Math.floor(random.nextFloat() * (maxBytes + 1));
    return Buffer.alloc(lengthBytes, index);
  });
}

test("parts of all sizes make up the body", () => {
  for (const maxBytes of [0, 1, 3, 64, 5_000, 200_000]) {
    const parts = createParts(new RandomSource(maxBytes), maxBytes);
    const body = new BodyBuffer();
    parts.forEach((part) => body.add(part));
    const expected = Buffer.concat(parts);
    assert.is(body.lengthBytes, expected.length);
    assert.ok(body.toBuffer().equals(expected), `up to ${maxBytes} bytes`);
  }
});

test("parts are copied, since their buffer may be used again", () => {
  const part = Buffer.from("first");
  const body = new BodyBuffer();
  body.add(part);
  part.fill("x");
  assert.is(body.toBuffer().toString(), "first");
});

test("an allocation keeps what was collected before, and may be too small", () => {
  const body = new BodyBuffer();
  body.add(Buffer.from("ab"));
  body.allocate(5);
  body.add(Buffer.from("cdefgh"));
  assert.is(body.toBuffer().toString(), "abcdefgh");
});

test("a cleared body is empty and can be filled again", () => {
  const body = new BodyBuffer();
  body.add(Buffer.from("ab"));
  body.clear();
  assert.is(body.toBuffer().length, 0);
  body.add(Buffer.from("c"));
  assert.is(body.toBuffer().toString(), "c");
});

// Guards against a process that is killed for its memory, since every part of a few bytes keeps an object.
test("a body of small parts takes about its length", () => {
  setFlagsFromString("--expose-gc");
  const collect = runInNewContext("gc") as () => void;
  collect();
  const before = process.memoryUsage();
  const body = new BodyBuffer();
  const part = Buffer.from("abc");
  while (body.lengthBytes < 3_000_000) {
    body.add(part);
  }
  collect();
  const after = process.memoryUsage();
  const takenBytes = after.arrayBuffers - before.arrayBuffers +
    after.heapUsed - before.heapUsed;
  assert.is(body.toBuffer().length, 3_000_000);
  assert.ok(takenBytes < 6_000_000, `${takenBytes} bytes`);
});

test.run();
