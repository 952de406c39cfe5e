/**
 * Clients download sheets that an instance writes row by row, each row as a chunk
 * of its own. The daemon beside it goes past its memory limit and is killed by the
 * platform with all requests that it serves.
 */

import { Buffer } from "node:buffer";
import { Agent, get } from "node:http";
import { createServer } from "node:net";
import type { Socket } from "node:net";
import { deploy, runCase, waitUntilReady } from "../lib/case.ts";
import type { CaseContext } from "../lib/case.ts";
import { HOST, PORTS } from "../lib/deployment.ts";
import { Instance } from "../lib/instance.ts";
import type { Machine } from "../lib/machine.ts";
import { now, sleep } from "../lib/time.ts";

const MEMORY_MB = 250;
const BYTES_PER_MB = 1_048_576;

/** Interval at which the platform looks at the memory of a process, in milliseconds. */
const MEMORY_INTERVAL_MS = 10;

/** Time after which a process that has ended is started again, in milliseconds. */
const RESTART_AFTER_MS = 900;

const SLOTS = 206;
const CLIENTS = 200;
const WORK_MS = 100;
const DEADLINE_MS = 8_000;
const CHECK_IN_INTERVAL_MS = 1_500;

const SHEET_BYTES = 524_288;
const ROW_BYTES = 40;

/** Length of the chunks without the trouble, in bytes. */
const USUAL_CHUNK_BYTES = 16_384;

/** Cut requests that the rule still allows. */
const MAX_CUT = 3;

const HEAD_END = "\r\n\r\n";

const PATHS = { small: "/tariffs/one", sheet: "/tariffs/sheet" } as const;

function encodeInChunks(totalBytes: number, chunkBytes: number): Buffer {
  const chunk = Buffer.concat([
    Buffer.from(`${chunkBytes.toString(16)}\r\n`),
    Buffer.alloc(chunkBytes, "a"),
    Buffer.from("\r\n"),
  ]);
  const count = Math.ceil(totalBytes / chunkBytes);
  return Buffer.concat([
    ...Array.from({ length: count }, () => chunk),
    Buffer.from("0\r\n\r\n"),
  ]);
}

/** A sound instance whose answers are sent in chunks. */
class SheetInstance {
  /** Ids of the requests that were run. */
  readonly runs = new Set<string>();
  readonly #checkIns: Instance;
  readonly #small = encodeInChunks(ROW_BYTES, ROW_BYTES);
  readonly #sheet: Buffer;

  constructor(
    { address, plan: { service, zone } }: Machine,
    chunkBytes: number,
  ) {
    this.#sheet = encodeInChunks(SHEET_BYTES, chunkBytes);
    this.#checkIns = new Instance({
      ...{ id: `i-${service}`, address, service, zone, slots: SLOTS },
    });
  }

  async start(): Promise<void> {
    const server = createServer((socket) => this.#serve(socket));
    const { address } = this.#checkIns.options;
    await new Promise<void>((resolve) =>
      server.listen(PORTS.instance, address, resolve)
    );
    const checkIn = () =>
      void this.#checkIns.send("PUT", this.#checkIns.describe("ready"));
    setInterval(checkIn, CHECK_IN_INTERVAL_MS);
    checkIn();
  }

  #serve(socket: Socket): void {
    let received = "";
    socket.on("error", () => undefined); // The daemon has ended.
    socket.on("data", (bytes) => {
      received += bytes.toString("latin1");
      if (received.endsWith(HEAD_END)) {
        const head = received;
        received = "";
        setTimeout(() => this.#answer(socket, head), WORK_MS);
      }
    });
  }

  #answer(socket: Socket, head: string): void {
    const [, attemptId = ""] = /\nattempt-id: *(\S+)/i.exec(head) ?? [];
    this.runs.add(attemptId);
    socket.write(
      `HTTP/1.1 200 OK\r\nAttempt-Id: ${attemptId}\r\n` +
        `Server-Seal: seal.${attemptId}\r\nTransfer-Encoding: chunked\r\n\r\n`,
    );
    socket.write(head.includes(PATHS.sheet) ? this.#sheet : this.#small);
  }
}

/** Sends a request on a kept connection; resolves to the status, 0 if the connection ends without an answer. */
function send(
  { address }: Machine,
  { agent, attemptId, path }: {
    readonly agent: Agent;
    readonly attemptId: string;
    readonly path: string;
  },
): Promise<number> {
  return new Promise((resolve) => {
    const request = get({
      ...{ agent, host: address, port: PORTS.callers, path },
      headers: {
        host: HOST,
        "attempt-id": attemptId,
        "deadline-ms": String(DEADLINE_MS),
      },
    }, (response) => {
      response.resume();
      response.once("error", () => resolve(0));
      response.once("end", () => resolve(response.statusCode ?? 0));
    });
    request.once("error", () => resolve(0));
  });
}

/** Kills a process whose memory exceeds its limit, and starts it again, as the platform does. */
async function enforceMemory(
  machine: Machine,
  { record, report }: CaseContext,
): Promise<void> {
  let peakMb = 0;
  for (;;) {
    const memoryMb = machine.readMemoryBytes() / BYTES_PER_MB;
    if (memoryMb > peakMb + 10) {
      peakMb = memoryMb;
      record(`${machine.address}: ${Math.round(memoryMb)} MB`);
    }
    if (memoryMb > MEMORY_MB) {
      report(`killed at ${Math.round(memoryMb)} MB, over ${MEMORY_MB}`);
      await machine.kill();
      await sleep(RESTART_AFTER_MS);
      machine.start();
    }
    await sleep(MEMORY_INTERVAL_MS);
  }
}

async function play(context: CaseContext): Promise<boolean> {
  const { hasTrouble, record, report } = context;
  const settings = { "limits.memory_mb": String(MEMORY_MB) };
  const { machines } = await deploy({
    zones: { "mutrah": "muscat" },
    groups: ["tariffs", "meters"].map((service) => ({
      ...{ zone: "mutrah", service, count: 1, settings },
    })),
    configuration: {
      services: ["tariffs", "meters"],
      routes: [{
        ...{ name: "tariff-sheet", pathPrefix: "/tariffs/", kind: "safe" },
        ...{ timeoutMs: DEADLINE_MS, service: "tariffs" },
      }],
    },
  }, context);
  const chunkBytes = hasTrouble ? ROW_BYTES : USUAL_CHUNK_BYTES;
  const instances = machines.map((each) => new SheetInstance(each, chunkBytes));
  await Promise.all(instances.map((instance) => instance.start()));
  await waitUntilReady(machines);
  await sleep(5_000);
  const [machine] = machines;
  if (!machine) {
    throw new Error("no machine");
  }
  machines.forEach((each) => void enforceMemory(each, context));

  const agents = Array.from(
    { length: CLIENTS },
    () => new Agent({ keepAlive: true, maxSockets: 1 }),
  );
  const sendAll = (round: string, path: string) =>
    Promise.all(agents.map(async (agent, index) => {
      const attemptId = `${round}${index}`;
      const startedAtMs = now();
      const status = await send(machine, { agent, attemptId, path });
      const tookMs = Math.round(now() - startedAtMs);
      record(`${attemptId} ${path}: ${status} after ${tookMs} ms`);
      return { attemptId, status };
    }));
  const small = await sendAll("one-", PATHS.small);
  report(
    `${
      small.filter(({ status }) => status === 200).length
    } of ${CLIENTS} small ` +
      "requests were answered; their connections are kept",
  );
  await sleep(1_000);
  const sheets = await sendAll("sheet-", PATHS.sheet);
  const cut = sheets.filter(({ attemptId, status }) =>
    status === 0 && instances.some(({ runs }) => runs.has(attemptId))
  );
  const answered = sheets.filter(({ status }) => status === 200).length;
  report(
    `${CLIENTS} sheets asked for, ${answered} answered with 200; ${cut.length} ` +
      "were passed on and their connection closed without an answer",
  );
  return cut.length > MAX_CUT;
}

await runCase(play);
