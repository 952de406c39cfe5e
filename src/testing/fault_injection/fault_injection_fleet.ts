/**
 * In-process fleet for fault injection tests of non-repeatable calls: nodes, a
 * link from each node to each other one, and the faults of both.
 */

import { connect } from "node:net";
import type { Socket } from "node:net";
import type { PeerAddress } from "../../peer/mod.ts";
import { LinkStandIn } from "../link_stand_in.ts";
import { FaultInjectionNode } from "./fault_injection_node.ts";
import type { ReplaceableParts } from "./fault_injection_node.ts";
import { History } from "./history.ts";
import type { Directory } from "./shared_membership.ts";

const PEER_PORT = 7302;
const FIRST_NODE_BYTE = 201;
const FAILURE_DETECTION_MS = 60;

/** Service of each node. */
export const NODE_SERVICES = [
  "delivery-ledger",
  "delivery-ledger",
  "delivery-ledger",
  "stock",
  "stock",
] as const;

/** Injectable faults of a node and its links. */
export const FAULTS = {
  silence: "silence",
  cut: "cut",
  crash: "crash",
  stop: "stop",
  falseEviction: "false-eviction",
  breakResponses: "break-responses",
} as const;

/** One of {@link FAULTS}. */
export type FaultKind = (typeof FAULTS)[keyof typeof FAULTS];

/** Addresses, seed and replaced components of a fleet. */
export interface FaultInjectionFleetOptions {
  /** First three bytes of the addresses, for example `127.60.7`. */
  readonly network: string;
  readonly randomSeed: number;
  readonly parts?: Partial<ReplaceableParts>;
}

/** Nodes in one process, connected by real sockets. */
export class FaultInjectionFleet {
  readonly history = new History();
  readonly nodes: FaultInjectionNode[] = [];
  readonly #options: FaultInjectionFleetOptions;
  readonly #directory: Directory = new Map();
  readonly #links = new Map<string, LinkStandIn>();
  readonly #crashedNodes: FaultInjectionNode[] = [];

  constructor(options: FaultInjectionFleetOptions) {
    this.#options = options;
  }

  /** Starts the links and the nodes. */
  async start(): Promise<void> {
    const indexes = NODE_SERVICES.map((_service, index) => index);
    for (const from of indexes) {
      for (const to of indexes.filter((index) => index !== from)) {
        await this.#openLink(from, to);
      }
      this.nodes.push(this.#createNode(from));
      await this.nodes[from]?.start();
    }
  }

  /** Lists the links from a node to the other nodes. */
  listLinksFrom(index: number): LinkStandIn[] {
    return [...this.#links].filter(([name]) => name.startsWith(`${index}-`))
      .map(([, link]) => link);
  }

  /** Injects a fault and removes it after `durationMs` milliseconds. */
  async inject(
    kind: FaultKind,
    index: number,
    durationMs: number,
  ): Promise<void> {
    const node = this.nodes[index];
    if (!node) {
      return;
    }
    const links = this.#listLinks(index);
    switch (kind) {
      case "silence":
        links.forEach((link) => link.silenceFlows());
        await sleep(durationMs);
        return links.forEach((link) => link.resumeFlows());
      case "cut":
        links.forEach((link) => link.cut());
        await sleep(durationMs);
        return links.forEach((link) => link.restore());
      case "crash":
        return await this.#crashAndReplace(index, durationMs);
      case "stop":
        await node.stop();
        await sleep(durationMs);
        return await this.#crashAndReplace(index, 0);
      case "false-eviction":
        this.#setState(node, "dead");
        await sleep(durationMs);
        return node.backend.isCrashed
          ? undefined
          : this.#setState(node, "alive");
      case "break-responses":
        node.backend.breaksResponses = true;
        await sleep(durationMs);
        node.backend.breaksResponses = false;
    }
  }

  /** Crashes all nodes and closes the links. */
  close(): void {
    [...this.nodes, ...this.#crashedNodes].forEach((node) => node.crash());
    this.#links.forEach((link) => link.close());
  }

  async #crashAndReplace(index: number, durationMs: number): Promise<void> {
    const node = this.nodes[index];
    if (!node || node.backend.isCrashed) {
      return;
    }
    node.crash();
    this.#crashedNodes.push(node);
    await sleep(FAILURE_DETECTION_MS);
    this.#setState(node, "dead");
    await sleep(durationMs);
    const next = this.#createNode(index);
    await next.start();
    this.nodes[index] = next;
  }

  #setState(node: FaultInjectionNode, state: "alive" | "dead"): void {
    node.environment.membership.updateSelf({ state });
  }

  #createNode(index: number): FaultInjectionNode {
    const { network, randomSeed, parts = {} } = this.#options;
    return new FaultInjectionNode({
      address: `${network}.${FIRST_NODE_BYTE + index}`,
      peerPort: PEER_PORT,
      service: NODE_SERVICES[index] ?? "",
      directory: this.#directory,
      history: this.history,
      randomSeed: randomSeed + index + 1,
      dial: (target) => this.#dial(index, target),
      parts,
    });
  }

  #dial(from: number, { address, peerPort }: PeerAddress): Socket {
    const to = Number(address.split(".")[3]) - FIRST_NODE_BYTE;
    return connect({ host: this.#linkAddress(from, to), port: peerPort });
  }

  async #openLink(from: number, to: number): Promise<void> {
    const link = new LinkStandIn();
    this.#links.set(`${from}-${to}`, link);
    await link.open({
      listenAddress: this.#linkAddress(from, to),
      listenPort: PEER_PORT,
      targetAddress: `${this.#options.network}.${FIRST_NODE_BYTE + to}`,
      targetPort: PEER_PORT,
    });
  }

  #linkAddress(from: number, to: number): string {
    return `${this.#options.network}.${from * 10 + to + 1}`;
  }

  #listLinks(index: number): LinkStandIn[] {
    return [...this.#links].filter(([name]) =>
      name.split("-").includes(String(index))
    ).map(([, link]) => link);
  }
}

/**
 * Waits in real time.
 *
 * @param durationMs - Time to wait, in milliseconds
 * @returns Resolves when the time has passed
 *
 * @example
 * await sleep(50);
 */
export function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
