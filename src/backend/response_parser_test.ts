import { Buffer } from "node:buffer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { ResponseParser } from "./response_parser.ts";
import type { ParsedHead } from "./response_parser.ts";

/** Parses a response in pieces of a given size, whose bytes are overwritten after each piece. */
function parse(
  text: string,
  { method = "GET", pieceBytes = text.length, hasEnded = false } = {},
) {
  const heads: ParsedHead[] = [];
  let body = "";
  let ends = 0;
  const parser = new ResponseParser({
    onHead: (head) => heads.push(head),
    onBody: (part) => body += part.toString("latin1"),
    onEnd: () => ends += 1,
  }, { method });
  const bytes = Buffer.from(text, "latin1");
  let isValid = true;
  for (let offset = 0; offset < bytes.length && isValid; offset += pieceBytes) {
    const piece = Buffer.from(bytes.subarray(offset, offset + pieceBytes));
    isValid = parser.push(piece);
    piece.fill(0);
  }
  const isCompletedByEnd = hasEnded && parser.finish();
  return { heads, body, ends, isValid, isCompletedByEnd };
}

const CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

const COMPLETE: Record<string, [text: string, body: string]> = {
  "a stated length": [
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-A:  b c \r\n\r\ndone",
    "done",
  ],
  "chunks": [
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n" +
    "3;a=b\r\nabc\r\nA\r\n0123456789\r\n0\r\nX-T: 1\r\n\r\n",
    "abc0123456789",
  ],
  "informational heads": [
    "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" +
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "ok",
  ],
  "bytes above 0x7f in a value": [
    "HTTP/1.1 200 OK\r\nX-A: \xe9\r\nContent-Length: 2\r\n\r\nok",
    "ok",
  ],
  "several trailer lines": [
    `${CHUNKED_HEAD}2 \r\nok\r\n000\r\nX-A: b\r\nX-B:\r\n\r\n`,
    "ok",
  ],
  "a status without a body": ["HTTP/1.1 204 No Content\r\n\r\n", ""],
  "an empty reason": ["HTTP/1.1 200\r\ncontent-length: 0\r\n\r\n", ""],
};

// A response may arrive in any pieces, and the buffer it is read into is reused.
for (const [name, [text, body]] of Object.entries(COMPLETE)) {
  test(`a response with ${name} is complete, whatever its pieces`, () => {
    for (let pieceBytes = 1; pieceBytes <= text.length; pieceBytes += 1) {
      const parsed = parse(text, { pieceBytes });
      assert.equal([parsed.isValid, parsed.ends, parsed.body], [true, 1, body]);
    }
  });
}

// Each of these could hide another response, or a body that was cut off.
const MALFORMED: Record<string, string> = {
  "no response": "garbled\r\n\r\n",
  "two lengths":
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok",
  "a length and chunks":
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n",
  "a length that is no number":
    "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nok",
  "another transfer coding":
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
  "a folded line": "HTTP/1.1 200 OK\r\nX-A: b\r\n c\r\n\r\n",
  "a space before the colon": "HTTP/1.1 200 OK\r\nX-A : b\r\n\r\n",
  "a bare line feed in a value": "HTTP/1.1 200 OK\r\nX-A: b\nX-B: c\r\n\r\n",
  "a chunk size that is no number":
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n",
  "a chunk longer than its size":
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n0\r\n\r\n",
  "bytes after its end":
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n",
  "different lengths":
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
  "a list of lengths": "HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\nok",
  "chunks before a length":
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n",
  "chunks on HTTP/1.0":
    "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
  "no colon in a line": "HTTP/1.1 200 OK\r\nX-A\r\n\r\n",
  "no name in a line": "HTTP/1.1 200 OK\r\n: a\r\n\r\n",
  "a byte above 0x7f in a name": "HTTP/1.1 200 OK\r\nX-\xe9: b\r\n\r\n",
  "a NUL in a value": "HTTP/1.1 200 OK\r\nX-A: \0\r\n\r\n",
  "a bare carriage return in a value":
    "HTTP/1.1 200 OK\r\nX-A: b\rX-B: c\r\n\r\n",
  "a bare line feed in its status line":
    "HTTP/1.1 200 OK\nX-A: b\r\nContent-Length: 0\r\n\r\n",
  "a short status": "HTTP/1.1 20 OK\r\n\r\n",
  // A backend server in trouble writes such statuses, and callers took them for answers.
  "a status of 000": "HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\n",
  "a status of 099": "HTTP/1.1 099 Trouble\r\nContent-Length: 0\r\n\r\n",
  "a status of 600": "HTTP/1.1 600 Trouble\r\nContent-Length: 0\r\n\r\n",
  "a status of 999": "HTTP/1.1 999 Trouble\r\nContent-Length: 0\r\n\r\n",
  "a status line without a status": "HTTP/1.1\r\n\r\n",
  "an empty line before it": "\r\nHTTP/1.1 204 None\r\n\r\n",
  "another version": "HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n",
  "a bare line feed after a chunk size":
    `${CHUNKED_HEAD}2;a\nb\r\nok\r\n0\r\n\r\n`,
  "a trailer line without a colon":
    `${CHUNKED_HEAD}2\r\nok\r\n0\r\nHTTP/1.1 200 OK\r\n\r\n`,
  "a bare line feed in a trailer line":
    `${CHUNKED_HEAD}2\r\nok\r\n0\r\nX-A: b\nX-B: c\r\n\r\n`,
  "a folded trailer line":
    `${CHUNKED_HEAD}2\r\nok\r\n0\r\nX-A: b\r\n c\r\n\r\n`,
  "trailer lines without end": `${CHUNKED_HEAD}0\r\n${
    "X-A: b\r\n".repeat(3_000)
  }`,
  "a change of the protocol": "HTTP/1.1 101 Switching\r\n\r\n",
  "informational heads without end": "HTTP/1.1 103 Early Hints\r\n\r\n"
    .repeat(50),
  "an endless head": `HTTP/1.1 200 OK\r\n${"X-A: b\r\n".repeat(3_000)}`,
};

for (const [name, text] of Object.entries(MALFORMED)) {
  test(`a response with ${name} is malformed, whatever its pieces`, () => {
    for (const pieceBytes of [1, 7, text.length]) {
      assert.is(parse(text, { pieceBytes }).isValid, false);
    }
  });
}

test("the end of the connection completes only a body without a length", () => {
  const unframed = parse("HTTP/1.1 200 OK\r\n\r\npart", { hasEnded: true });
  assert.equal([unframed.body, unframed.isCompletedByEnd], ["part", true]);
  const cut = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart";
  assert.is(parse(cut, { hasEnded: true }).isCompletedByEnd, false);
  const cutChunk =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n";
  assert.is(parse(cutChunk, { hasEnded: true }).isCompletedByEnd, false);
});

test("a response to HEAD has no body, whatever length it states", () => {
  const text = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n";
  assert.is(parse(text, { method: "HEAD" }).ends, 1);
});

test("a head states fields, framing and reuse", () => {
  const [head] = parse(
    "HTTP/1.1 200 OK\r\nSet-Cookie: a\r\nSET-COOKIE: b\r\n" +
      "Connection: Foo, Close\r\nKeep-Alive: timeout=5, max=9\r\n" +
      "Content-Length: 0\r\n\r\n",
  ).heads;
  assert.equal(head?.headers.slice(0, 4), [
    ...["set-cookie", "a", "set-cookie", "b"],
  ]);
  assert.is(head?.isDelimited, true);
  assert.is(head?.isPersistent, false);
  assert.is(head?.idleTimeoutMs, 5_000);
});

test.run();
