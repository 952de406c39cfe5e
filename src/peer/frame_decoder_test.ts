import { Buffer } from "node:buffer";
import * as assert from "uvu/assert";
import { test } from "uvu";
import { MAX_FRAME_BYTES } from "../constants/mod.ts";
import type { PeerMessage } from "../generated/types.ts";
import { encodeFrame } from "./encode_frame.ts";
import { FrameDecoder } from "./frame_decoder.ts";

const heartbeat: PeerMessage = {
  kind: "heartbeat",
  isReply: false,
  sequence: 7,
};

test("decodes a message that arrives byte by byte", () => {
  const decoder = new FrameDecoder();
  const messages = [...encodeFrame(heartbeat)].flatMap((byte) =>
    decoder.push(Buffer.of(byte))._unsafeUnwrap()
  );
  assert.equal(messages, [heartbeat]);
  assert.is(decoder.pendingBytes, 0);
});

test("decodes all messages of one read, in order", () => {
  const cancel: PeerMessage = { kind: "cancel", callId: 3 };
  const bytes = Buffer.concat([encodeFrame(heartbeat), encodeFrame(cancel)]);
  assert.equal(new FrameDecoder().push(bytes)._unsafeUnwrap(), [
    heartbeat,
    cancel,
  ]);
});

test("returns no message for an incomplete frame", () => {
  const decoder = new FrameDecoder();
  const frame = encodeFrame(heartbeat);
  assert.equal(
    decoder.push(frame.subarray(0, frame.length - 1))._unsafeUnwrap(),
    [],
  );
  assert.ok(decoder.pendingBytes > 0);
});

test("rejects a payload that is not CBOR", () => {
  const error = new FrameDecoder().push(Buffer.from([0, 0, 0, 1, 0x1a]))
    ._unsafeUnwrapErr();
  assert.is(error.name, "FrameCorrupt");
});

test("rejects a message that violates the schema", () => {
  const frame = encodeFrame({ kind: "cancel", callId: -1 });
  assert.is(
    new FrameDecoder().push(frame)._unsafeUnwrapErr().name,
    "MessageInvalid",
  );
});

test("rejects an oversized frame before its payload arrives", () => {
  const header = Buffer.alloc(4);
  header.writeUInt32BE(MAX_FRAME_BYTES + 1);
  assert.is(
    new FrameDecoder().push(header)._unsafeUnwrapErr().name,
    "FrameTooLarge",
  );
});

test.run();
