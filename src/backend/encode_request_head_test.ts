import { test } from "uvu";
import * as assert from "uvu/assert";
import { encodeRequestHead } from "./encode_request_head.ts";

const HOST = "127.0.0.1:8301";

function encode(
  headers: readonly string[],
  { method = "GET", path = "/a?b", bodyBytes = 0 } = {},
): string | undefined {
  return encodeRequestHead({
    ...{ method, path, headers, maxBodyBytes: 0 },
    body: new Uint8Array(bodyBytes),
    signal: new AbortController().signal,
  }, HOST);
}

test("a head names the host once, and the length of a body", () => {
  assert.is(
    encode(["A", "b"]),
    `GET /a?b HTTP/1.1\r\nhost: ${HOST}\r\nconnection: keep-alive\r\nA: b\r\n\r\n`,
  );
  assert.is(
    encode(["Host", "app.example"], { method: "POST", bodyBytes: 3 }),
    "POST /a?b HTTP/1.1\r\nconnection: keep-alive\r\nHost: app.example\r\n" +
      "content-length: 3\r\n\r\n",
  );
  assert.match(encode([], { method: "PUT" }) ?? "", "content-length: 0\r\n");
});

// A field of a call from another daemon could otherwise smuggle a second request to the instance.
test("nothing that contains a line break or control character is sent", () => {
  assert.is(encode(["A", "b\r\nC: d"]), undefined);
  assert.is(encode(["A", "b\n"]), undefined);
  assert.is(encode(["A: b\r\nC", "d"]), undefined);
  assert.is(encode(["A", "\u0100"]), undefined);
  assert.is(encode(["", "b"]), undefined);
  assert.is(encode([], { path: "/a HTTP/1.1\r\nA: b" }), undefined);
  assert.is(encode([], { path: "*" }), undefined);
  assert.is(encode([], { method: "GET /" }), undefined);
});

test.run();
