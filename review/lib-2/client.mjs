// deno-lint-ignore-file explicit-module-boundary-types -- JavaScript has no types to state

/**
 * Client of a daemon: one request on a connection of its own, or several on one
 * that it keeps.
 */

import { connect } from "node:net";

/** A connection that is kept for one request after the other. */
export class Connection {
  constructor({ host, port }) {
    this.input = Buffer.alloc(0);
    this.waiting = [];
    this.isClosed = false;
    this.socket = connect({ host, port });
    this.socket.setNoDelay(true);
    this.socket.on("error", () => undefined);
    this.socket.on("data", (bytes) => {
      this.input = Buffer.concat([this.input, bytes]);
      this.#read();
    });
    this.socket.on("close", () => {
      this.isClosed = true;
      this.waiting.splice(0).forEach((settle) =>
        settle({
          status: 0,
          headers: {},
          body: "",
          text: this.input.toString("latin1"),
        })
      );
    });
  }

  /** Sends a request; resolves to the answer, with status 0 if the connection ends without one. */
  send({ method, path, host, attemptId, deadlineMs, body = "", extra = "" }) {
    const bytes = Buffer.from(body);
    const length = method === "GET" && bytes.length === 0
      ? ""
      : `Content-Length: ${bytes.length}\r\n`;
    const head =
      `${method} ${path} HTTP/1.1\r\nHost: ${host}\r\nAttempt-Id: ${attemptId}\r\nDeadline-Ms: ${deadlineMs}\r\n${extra}${length}\r\n`;
    this.socket.write(Buffer.concat([Buffer.from(head, "latin1"), bytes]));
    return new Promise((resolve) => {
      if (this.isClosed) {
        resolve({ status: 0, headers: {}, body: "" });
        return;
      }
      this.waiting.push(resolve);
    });
  }

  close() {
    this.socket.destroy();
  }

  #read() {
    for (;;) {
      const end = this.input.indexOf("\r\n\r\n");
      if (end < 0) {
        return;
      }
      const [line, ...fields] = this.input.toString("latin1", 0, end)
        .split("\r\n");
      const headers = Object.fromEntries(fields.map((field) => {
        const at = field.indexOf(":");
        return [field.slice(0, at).toLowerCase(), field.slice(at + 1).trim()];
      }));
      const total = end + 4 + Number(headers["content-length"] ?? 0);
      if (this.input.length < total) {
        return;
      }
      const body = this.input.toString("latin1", end + 4, total);
      this.input = this.input.subarray(total);
      const status = Number(line.split(" ")[1]);
      this.waiting.shift()?.({ status, headers, body });
    }
  }
}

/** Sends one request on a connection of its own; its client leaves at its time limit. */
export async function sendOnce(target, request) {
  const connection = new Connection(target);
  const timer = setTimeout(() => connection.close(), request.deadlineMs);
  const answer = await connection.send(request);
  clearTimeout(timer);
  connection.close();
  return answer;
}
