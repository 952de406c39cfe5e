import { once } from "node:events";
import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { createTestMemory } from "../testing/create_test_memory.ts";
import * as assert from "uvu/assert";
import { test } from "uvu";
import type { Announcement } from "../generated/types.ts";
import type { CallResult } from "../outcome/mod.ts";
import { HttpBackendClient } from "./http_backend_client.ts";
import type { BackendCall } from "./backend_client.ts";
import { claimNetwork } from "../testing/claim_network.ts";

const ADDRESS = `127.${await claimNetwork()}.1.1`;

function createCall(): BackendCall {
  return {
    method: "POST",
    path: "/deliveries/1",
    contentType: "",
    body: new Uint8Array(0),
    context: {
      requestId: "request-1",
      requestName: "record-delivery",
      className: "deliveries",
      member: "member-1",
      tenant: "other",
      remainingMs: 5_000,
      retryAllowance: 0,
      depth: 0,
      isRepeatable: false,
      isBulk: false,
    },
    idempotencyKey: "key-1",
    callToken: "token-1",
  };
}

function createAnnouncement(port: number): Announcement {
  return {
    service: "delivery-ledger",
    port,
    slots: 4,
    connections: 4,
    reportsLoad: true,
    coldStartMs: 0,
    inFlight: 0,
  };
}

/** Calls a server that runs `respond` on each connection when the first bytes of the request arrive. */
async function callServer(
  respond: (socket: Socket) => void,
  signal = new AbortController().signal,
): Promise<CallResult> {
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => respond(socket));
  });
  server.listen(0, ADDRESS);
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const client = new HttpBackendClient(ADDRESS);
  const result = await client.call(createAnnouncement(port), createCall(), {
    signal,
    memory: createTestMemory(),
    maxBodyBytes: 1_024,
  });
  server.close();
  void client.close();
  return result;
}

function readFailure(result: CallResult): string {
  const { kind, reason } = result._unsafeUnwrapErr();
  return `${kind} ${reason}`;
}

test("returns a response whose body has its announced length", async () => {
  const result = await callServer((socket) =>
    socket.end("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone")
  );
  assert.is(new TextDecoder().decode(result._unsafeUnwrap().body), "done");
});

test("a response shorter than its announced length is an unknown outcome", async () => {
  const result = await callServer((socket) =>
    socket.end("HTTP/1.1 200 OK\r\ncontent-length: 40\r\n\r\ndone")
  );
  assert.is(readFailure(result), "unknown backend-failed");
});

// Callers took statuses that HTTP does not know for answers.
for (const status of ["000", "600", "999"]) {
  test(`a response with the status ${status} is an unknown outcome`, async () => {
    const result = await callServer((socket) =>
      socket.end(`HTTP/1.1 ${status} Trouble\r\ncontent-length: 4\r\n\r\ndone`)
    );
    assert.is(readFailure(result), "unknown backend-failed");
  });
}

test("a response delimited only by the end of the connection is an unknown outcome", async () => {
  const result = await callServer((socket) =>
    socket.end("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nperhaps mor")
  );
  assert.is(readFailure(result), "unknown answer-truncated");
});

test("a chunked response without its last chunk is an unknown outcome", async () => {
  const result = await callServer((socket) =>
    socket.end(
      "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\ndone\r\n",
    )
  );
  assert.is(readFailure(result), "unknown backend-failed");
});

test("a response over the size limit is abandoned without waiting for its end", async () => {
  const result = await callServer((socket) => {
    socket.write("HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\n");
    socket.write("x".repeat(4_096));
  });
  assert.is(readFailure(result), "unknown answer-too-large");
});

test("a connection reset after the request was sent is an unknown outcome", async () => {
  const result = await callServer((socket) => socket.resetAndDestroy());
  assert.is(readFailure(result), "unknown backend-failed");
});

test("a call cancelled while it runs has an unknown outcome", async () => {
  const controller = new AbortController();
  const result = await callServer(
    () => controller.abort(),
    controller.signal,
  );
  assert.is(readFailure(result), "unknown cancelled");
});

test("a call cancelled before it was sent is refused", async () => {
  const result = await callServer(() => undefined, AbortSignal.abort());
  assert.is(readFailure(result), "refused cancelled");
});

test("a call is refused if the backend server is not listening", async () => {
  const client = new HttpBackendClient(ADDRESS);
  const result = await client.call(createAnnouncement(9), createCall(), {
    signal: new AbortController().signal,
    memory: createTestMemory(),
    maxBodyBytes: 1_024,
  });
  assert.is(readFailure(result), "refused no-backend-server");
});

test.run();
