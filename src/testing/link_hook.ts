/**
 * Module that Node.js loads before a daemon program, which itself is not changed:
 * it leads the daemon's connections and datagrams through simulated links, and
 * tells the parent process when the program is about to load.
 */

import { Buffer } from "node:buffer";
import { Socket as DatagramSocket } from "node:dgram";
import { closeSync, readFileSync, writeSync } from "node:fs";
import { Socket } from "node:net";
import process from "node:process";
import {
  decodeDatagram,
  encodeDatagram,
  formatEndpoint,
} from "./relayed_datagram.ts";

/** What {@link HOOK_VARIABLE} holds as JSON. */
export interface HookLinks {
  /** Listening address of the link to each endpoint (`IP:PORT`); the port stays. */
  readonly linkByEndpoint: Readonly<Record<string, string>>;
  /** Addresses whose datagrams pass the relay. */
  readonly vmAddresses: readonly string[];
  readonly datagramRelay: { readonly address: string; readonly port: number };
}

/** Environment variable with the daemon's links; without it the module does nothing. */
export const HOOK_VARIABLE = "TEST_FLEET_HOOK";

/** Descriptor on which the module writes the processor time used so far, in nanoseconds, when the program is about to load. */
export const HOOK_DESCRIPTOR = 3;

interface DialOptions {
  readonly host?: string;
  readonly port?: number | string;
}

function redirectConnections({ linkByEndpoint }: HookLinks): void {
  const connect = Socket.prototype.connect;
  Socket.prototype.connect = function (this: Socket, ...words: unknown[]) {
    const [first] = words;
    // `net.connect` passes its options in an array that it has marked.
    const options = (Array.isArray(first) ? first[0] : first) as DialOptions;
    const host = linkByEndpoint[`${options?.host}:${options?.port}`];
    if (host !== undefined) {
      const changed = { ...options, host };
      words[0] = Array.isArray(first)
        ? copyMarks(first, [changed, ...first.slice(1)])
        : changed;
    }
    return Reflect.apply(connect, this, words);
  } as typeof connect;
}

/** Copies the properties by which Node.js recognizes its own array of options. */
function copyMarks(from: readonly unknown[], to: unknown[]): unknown[] {
  for (const symbol of Object.getOwnPropertySymbols(from)) {
    Reflect.set(to, symbol, Reflect.get(from, symbol));
  }
  return to;
}

function redirectDatagrams({ vmAddresses, datagramRelay }: HookLinks): void {
  const addresses = new Set(vmAddresses);
  const { send, emit } = DatagramSocket.prototype;
  DatagramSocket.prototype.send = function (
    this: DatagramSocket,
    ...words: unknown[]
  ) {
    const [bytes, port, address, callback] = words;
    if (!(bytes instanceof Uint8Array) || !addresses.has(String(address))) {
      return Reflect.apply(send, this, words);
    }
    const target = { address: String(address), port: Number(port) };
    return Reflect.apply(send, this, [
      encodeDatagram(target, bytes),
      datagramRelay.port,
      datagramRelay.address,
      callback,
    ]);
  } as typeof send;
  DatagramSocket.prototype.emit = function (
    this: DatagramSocket,
    ...words: unknown[]
  ) {
    const [name, bytes, remote] = words;
    if (
      name === "message" && bytes instanceof Buffer &&
      formatEndpoint(remote as HookLinks["datagramRelay"]) ===
        formatEndpoint(datagramRelay)
    ) {
      const { endpoint, payload } = decodeDatagram(bytes);
      const source = { ...remote as object, ...endpoint };
      return Reflect.apply(emit, this, [name, payload, source]);
    }
    return Reflect.apply(emit, this, words);
  } as typeof emit;
}

function reportLoading(): void {
  const [processorNs = ""] = readFileSync("/proc/self/schedstat", "utf8")
    .split(" ");
  writeSync(HOOK_DESCRIPTOR, processorNs);
  closeSync(HOOK_DESCRIPTOR);
}

const text = process.env[HOOK_VARIABLE];
if (text !== undefined) {
  const links: HookLinks = JSON.parse(text);
  redirectConnections(links);
  redirectDatagrams(links);
  reportLoading();
}
