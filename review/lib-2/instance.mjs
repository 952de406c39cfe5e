// deno-lint-ignore-file explicit-module-boundary-types -- JavaScript has no types to state

/**
 * Stand-in of an instance: checks in at the daemon beside it, and runs requests
 * as the users' page on the protocol says.
 */

import { request as sendRequest } from "node:http";
import { createServer } from "node:net";

const CHECK_IN_MS = 1500;

/** An instance on one machine. */
export class Instance {
  constructor(options) {
    this.options = { slots: 100, workMs: 20, ...options };
    this.id = options.id;
    this.born = Date.now();
    this.sequence = 0;
    this.state = "ready";
    this.running = 0;
    /** Requests that ran. */
    this.runs = [];
    this.sockets = new Set();
    /** Called for each complete request; returns true if it handled it. */
    this.onRequest = undefined;
    this.server = createServer((socket) => this.#serve(socket));
  }

  async start() {
    const { host, port } = this.options;
    await new Promise((resolve) => this.server.listen(port, host, resolve));
    this.timer = setInterval(() => void this.checkIn(), CHECK_IN_MS);
  }

  /** Stops to check in, closes the port and ends all connections. */
  close() {
    clearInterval(this.timer);
    this.sockets.forEach((socket) => socket.destroy());
    return new Promise((resolve) => this.server.close(resolve));
  }

  describe(state = this.state) {
    const { host, port, service, zone, slots } = this.options;
    this.sequence += 1;
    return {
      address: `${host}:${port}`,
      born: this.born,
      info: { service, version: "v1", zone, slots },
      status: { state, sequence: this.sequence, warmup_left_ms: 0 },
    };
  }

  checkIn(body = this.describe()) {
    return this.send("PUT", body);
  }

  leave() {
    return this.send("DELETE", undefined);
  }

  /** Sends a call to the control address; resolves to the status, 0 without a response. */
  send(method, body) {
    const { host, controlPort } = this.options;
    const text = body === undefined ? "" : JSON.stringify(body);
    return new Promise((resolve) => {
      const call = sendRequest({
        ...{ host, port: controlPort, method, agent: false },
        path: `/api/instances/${this.id}`,
        headers: {
          "content-type": "application/json",
          "content-length": Buffer.byteLength(text),
        },
        timeout: 1000,
      }, (response) => {
        response.resume();
        resolve(response.statusCode);
      });
      call.on("timeout", () => call.destroy());
      call.on("error", () => resolve(0));
      call.end(text);
    });
  }

  #serve(socket) {
    this.sockets.add(socket);
    socket.setNoDelay(true);
    socket.on("close", () => this.sockets.delete(socket));
    socket.on("error", () => undefined);
    let input = Buffer.alloc(0);
    let isBusy = false;
    const next = () => {
      if (isBusy) {
        return;
      }
      while (input.length >= 2 && input[0] === 13 && input[1] === 10) {
        input = input.subarray(2);
      }
      const end = input.indexOf("\r\n\r\n");
      if (end < 0) {
        return;
      }
      const request = parseHead(input.toString("latin1", 0, end));
      const total = end + 4 + Number(request.headers["content-length"] ?? 0);
      if (input.length < total) {
        return;
      }
      request.body = input.subarray(end + 4, total);
      input = input.subarray(total);
      isBusy = true;
      void this.#handle(request, socket).then(() => {
        isBusy = false;
        next();
      });
    };
    socket.on("data", (bytes) => {
      input = Buffer.concat([input, bytes]);
      next();
    });
  }

  async #handle(request, socket) {
    const { headers } = request;
    const attemptId = headers["attempt-id"] ?? "";
    const { slots, workMs, record, service } = this.options;
    if (headers["expect-instance"] !== this.id) {
      socket.write(
        `HTTP/1.1 421 Misdirected Request\r\nInstance-Id: ${this.id}\r\nContent-Length: 0\r\n\r\n`,
      );
      return;
    }
    if (this.running >= slots) {
      socket.write(
        "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
      );
      return;
    }
    this.running += 1;
    const run = {
      ...{ attemptId, path: request.path, method: request.method },
      atMs: performance.now(),
      instanceId: this.id,
      isCut: false,
    };
    this.runs.push(run);
    record("run", {
      ...{ attemptId, instance: this.id, service, path: request.path },
      deadlineMs: headers["deadline-ms"],
    });
    const onClose = () => (run.isCut = true);
    socket.once("close", onClose);
    const handled = await this.onRequest?.(request, socket, run);
    if (!handled) {
      await new Promise((resolve) => setTimeout(resolve, workMs));
      this.answer(socket, attemptId, `answer to ${attemptId}`);
    }
    socket.off("close", onClose);
    this.running -= 1;
  }

  answer(socket, attemptId, body, extra = "") {
    const bytes = Buffer.from(body);
    socket.write(Buffer.concat([
      Buffer.from(
        `HTTP/1.1 200 OK\r\nAttempt-Id: ${attemptId}\r\nServer-Seal: seal-${attemptId}\r\nServer-Load: ${this.running},0,${this.options.slots}\r\n${extra}Content-Length: ${bytes.length}\r\n\r\n`,
      ),
      bytes,
    ]));
  }
}

function parseHead(text) {
  const [line, ...fields] = text.split("\r\n");
  const [method, path] = line.split(" ");
  const headers = {};
  for (const field of fields) {
    const at = field.indexOf(":");
    headers[field.slice(0, at).trim().toLowerCase()] = field.slice(at + 1)
      .trim();
  }
  return { method, path, headers };
}
