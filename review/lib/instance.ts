/**
 * Stand-in of an instance: it runs the requests that name it in
 * `Expect-Instance`, within its slots, and checks in with the daemon beside it.
 */

import { Buffer } from "node:buffer";
import { createServer, request as sendRequest } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { PORTS } from "./deployment.ts";
import { now, sleep } from "./time.ts";

/** A request that reached an instance and was run. */
export interface Run {
  readonly attemptId: string;
  readonly path: string;
  /** Arrival at the instance, in milliseconds since the start of the script. */
  readonly atMs: number;
  readonly bodyBytes: number;
  /** Header fields as received. */
  readonly headers: IncomingMessage["headers"];
  /** When the answer was handed to the connection; undefined while it works. */
  endedAtMs: number | undefined;
  /** Whether the connection was closed before the answer had been sent. */
  isBrokenOff: boolean;
}

/** Options of an {@link Instance}. */
export interface InstanceOptions {
  readonly id: string;
  readonly address: string;
  readonly service: string;
  readonly zone: string;
  readonly slots?: number;
  /** How long a request takes, in milliseconds. */
  readonly work?: (path: string) => number;
  readonly createAnswer?: (attemptId: string) => Buffer;
  /** Makes the calls that a run needs; resolves to whether they succeeded. */
  readonly makeCalls?: () => Promise<boolean>;
}

/** What an instance says of itself. */
export interface CheckIn {
  readonly address: string;
  readonly born: number;
  readonly info: object;
  readonly status: { readonly state: string; readonly sequence: number };
}

const CHECK_IN_INTERVAL_MS = 1_500;

/** Time within which a confirmation counts, in milliseconds. */
const CONFIRMATION_MS = 1_000;

const IDLE_TIMEOUT_MS = 10_000;

const STATUS = { ok: 200, failed: 500 } as const;

/** One lifetime of an instance. */
export class Instance {
  readonly runs: Run[] = [];
  readonly options: InstanceOptions;
  readonly #born = Date.now();
  readonly #sockets = new Set<Socket>();
  readonly #server = createServer((request, response) =>
    void this.#handle(request, response)
  );
  #timer: ReturnType<typeof setInterval> | undefined;
  #sequence = 0;
  #running = 0;

  constructor(options: InstanceOptions) {
    this.options = options;
    this.#server.keepAliveTimeout = IDLE_TIMEOUT_MS;
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.once("close", () => this.#sockets.delete(socket));
    });
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve) =>
      this.#server.listen(PORTS.instance, this.options.address, resolve)
    );
    const checkIn = () => void this.send("PUT", this.describe("ready"));
    this.#timer = setInterval(checkIn, CHECK_IN_INTERVAL_MS);
    checkIn();
  }

  stopCheckIns(): void {
    clearInterval(this.#timer);
  }

  /** Ends the process. */
  stop(): void {
    this.stopCheckIns();
    this.#server.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }

  /** Creates the next check-in, which is not sent yet. */
  describe(state: string): CheckIn {
    const { address, service, slots = 50, zone } = this.options;
    this.#sequence += 1;
    return {
      address: `${address}:${PORTS.instance}`,
      born: this.#born,
      info: { service, version: "v1", zone, slots },
      status: {
        ...{ state, sequence: this.#sequence },
        ...{ "warmup_left_ms": 0 },
      },
    };
  }

  /** Says that the instance leaves; returns the status of the confirmation, 0 without one. */
  leave(): Promise<number> {
    return this.send("DELETE", { born: this.#born });
  }

  /** Sends a check-in or a removal; returns the status, 0 without a confirmation in time. */
  send(method: "PUT" | "DELETE", body: object): Promise<number> {
    const text = JSON.stringify(body);
    return new Promise((resolve) => {
      const request = sendRequest({
        ...{ host: this.options.address, port: PORTS.control, method },
        path: `/api/instances/${this.options.id}`,
        agent: false,
        timeout: CONFIRMATION_MS,
        headers: {
          "content-type": "application/json",
          "content-length": Buffer.byteLength(text),
        },
      }, (response) => {
        response.resume();
        response.once("end", () => resolve(response.statusCode ?? 0));
      });
      request.once("timeout", () => request.destroy());
      request.once("error", () => resolve(0));
      request.end(text);
    });
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { id, slots = 50, work = () => 20, createAnswer } = this.options;
    const { headers, url: path = "" } = request;
    const attemptId = String(headers["attempt-id"] ?? "");
    const atMs = now();
    if (headers["expect-instance"] !== id) {
      request.resume();
      response.writeHead(421, { "instance-id": id }).end();
      return;
    }
    if (this.#running >= slots) {
      request.resume();
      response.writeHead(503, { "not-executed": "1" }).end();
      return;
    }
    this.#running += 1;
    let bodyBytes = 0;
    try {
      for await (const chunk of request) {
        bodyBytes += (chunk as Buffer).length;
      }
    } catch {
      this.#running -= 1;
      return; // The daemon broke the request off before it was in.
    }
    const run: Run = {
      ...{ attemptId, path, atMs, bodyBytes, headers },
      ...{ endedAtMs: undefined, isBrokenOff: false },
    };
    this.runs.push(run);
    response.once("close", () => {
      run.isBrokenOff = !response.writableFinished;
    });
    await sleep(work(path));
    const isComplete = await this.options.makeCalls?.() ?? true;
    this.#running -= 1;
    if (run.isBrokenOff) {
      return;
    }
    run.endedAtMs = now();
    const body = createAnswer?.(attemptId) ??
      Buffer.from(`${id} ran ${path} for ${attemptId}`);
    response.writeHead(isComplete ? STATUS.ok : STATUS.failed, {
      "attempt-id": attemptId,
      "server-seal": `seal.${id}.${attemptId}`,
      "server-load": `${this.#running},0,${slots}`,
      "content-length": body.length,
    });
    response.end(body);
  }
}
