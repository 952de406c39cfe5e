import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import type { ServerResponse } from "node:http";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { claimNetwork } from "../testing/claim_network.ts";
import { HttpObjectStore } from "./http_object_store.ts";

const ADDRESS = `127.${await claimNetwork()}.2.1`;
const PORT = 7_400;

const PART = Buffer.alloc(1_048_576, "a");

/** Bytes after which the server gives up, past any bound that the client may have. */
const MAX_SENT_BYTES = 200 * PART.length;

/** Several times the longest answer that a store sends, in bytes. */
const MAX_TAKEN_BYTES = 40 * PART.length;

/** Sends a body that does not end, as fast as the client takes it. */
function sendWithoutEnd(response: ServerResponse, onSent: () => void): void {
  let sentBytes = 0;
  const sendMore = () => {
    let isAccepted = true;
    while (isAccepted && !response.destroyed && sentBytes < MAX_SENT_BYTES) {
      sentBytes += PART.length;
      onSent();
      isAccepted = response.write(PART);
    }
    if (sentBytes >= MAX_SENT_BYTES) {
      response.destroy();
    }
  };
  response.on("drain", sendMore);
  sendMore();
}

// Guards against a process that is killed for its memory because the store sends a body that does not end.
test("a call stops reading a body that is longer than any answer", async () => {
  let sentBytes = 0;
  const server = createServer((_request, response) =>
    sendWithoutEnd(response, () => sentBytes += PART.length)
  );
  await new Promise<void>((resolve) => server.listen(PORT, ADDRESS, resolve));
  const store = new HttpObjectStore(`http://${ADDRESS}:${PORT}`);
  const read = await store.read("key");
  assert.is(read._unsafeUnwrapErr().reason, "refused");
  assert.ok(sentBytes < MAX_TAKEN_BYTES, `${sentBytes} bytes taken`);
  await store.close();
  server.close();
  server.closeAllConnections();
});

test.run();
