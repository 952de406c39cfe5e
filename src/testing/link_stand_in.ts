/**
 * Simulated network link: a TCP relay with delay, limited bandwidth and
 * injectable faults. For example, existing flows can be silenced while new ones
 * work.
 */

import { connect, createServer } from "node:net";
import type { Server, Socket } from "node:net";
import { LinkDirection } from "./link_direction.ts";
import type { LinkOptions } from "./link_direction.ts";

/** An address on which the link listens, and the target that it relays to. */
export interface LinkRoute {
  readonly listenAddress: string;
  readonly listenPort: number;
  readonly targetAddress: string;
  readonly targetPort: number;
}

/** Directions that several links share, and with them their bandwidth. */
export interface SharedDirections {
  readonly forward: LinkDirection;
  readonly backward: LinkDirection;
}

interface Flow {
  readonly client: Socket;
  readonly target: Socket;
  isSilent: boolean;
  /** Whether the flow opened while the link held back all flows. */
  readonly isOpenedOnHold: boolean;
  /** Deliveries held back while the flow was silent, in order. */
  readonly heldDeliveries: (() => void)[];
}

/** A link that relays TCP connections to one or more targets. */
export class LinkStandIn {
  /** Towards the targets. */
  readonly forward: LinkDirection;
  /** From the targets. */
  readonly backward: LinkDirection;
  readonly #servers: Server[] = [];
  readonly #flows = new Set<Flow>();
  readonly #lostFlows = new Set<Flow>();
  #isCut = false;
  #isOnHold = false;
  #dropsForward = false;

  /** Creates a link; `shared` directions are used in place of its own. */
  constructor(options: LinkOptions = {}, shared?: SharedDirections) {
    this.forward = shared?.forward ?? new LinkDirection(options);
    this.backward = shared?.backward ?? new LinkDirection(options);
  }

  /** Number of open connections. */
  get flowCount(): number {
    return this.#flows.size;
  }

  /** Listens on an address and relays its connections to a target. */
  open(route: LinkRoute): Promise<void> {
    const server = createServer((client) => this.#accept(client, route));
    this.#servers.push(server);
    return new Promise((resolve, reject) => {
      server.once("error", reject);
      server.listen(route.listenPort, route.listenAddress, resolve);
    });
  }

  /** Silences the existing flows: they stay open but relay nothing. New flows work. */
  silenceFlows(): void {
    for (const flow of this.#flows) {
      flow.isSilent = true;
    }
  }

  /** Silences the existing flows as {@link silenceFlows}, and nothing resumes them. */
  silenceFlowsForGood(): void {
    this.silenceFlows();
    this.#flows.forEach((flow) => this.#lostFlows.add(flow));
    this.#flows.clear();
  }

  /** Resumes the silent flows, including the bytes that they held back. */
  resumeFlows(): void {
    this.#flows.forEach(resumeFlow);
  }

  /** Silences the existing flows and all that open until {@link endHold}, as a cut that drops packets. */
  hold(): void {
    this.#isOnHold = true;
    this.silenceFlows();
  }

  /** Lets new flows relay, and resumes those opened since {@link hold}. Older ones stay silent until {@link resumeFlows}, as if their senders waited for the next retransmission. */
  endHold(): void {
    this.#isOnHold = false;
    for (const flow of this.#flows) {
      if (flow.isOpenedOnHold) {
        resumeFlow(flow);
      }
    }
  }

  /** Drops everything sent towards the targets; flows stay open. */
  dropForward(): void {
    this.#dropsForward = true;
  }

  /** Stops dropping bytes and closes all flows, as their streams may have gaps. */
  stopDropping(): void {
    this.#dropsForward = false;
    this.#endFlows();
  }

  /** Resets all flows; new ones work. */
  resetFlows(): void {
    for (const { client, target } of this.#flows) {
      client.resetAndDestroy();
      target.resetAndDestroy();
    }
    this.#flows.clear();
  }

  /** Closes all flows and rejects new ones. */
  cut(): void {
    this.#isCut = true;
    this.#endFlows();
  }

  /** Accepts new flows again. */
  restore(): void {
    this.#isCut = false;
  }

  /** Closes all flows and stops listening. */
  close(): void {
    this.#lostFlows.forEach((flow) => this.#flows.add(flow));
    this.#endFlows();
    this.#servers.forEach((server) => server.close());
  }

  #endFlows(): void {
    for (const { client, target } of this.#flows) {
      client.destroy();
      target.destroy();
    }
    this.#flows.clear();
  }

  #accept(client: Socket, route: LinkRoute): void {
    if (this.#isCut) {
      client.destroy();
      return;
    }
    const target = connect({
      host: route.targetAddress,
      port: route.targetPort,
    });
    const flow: Flow = {
      ...{ client, target, heldDeliveries: [] },
      isSilent: this.#isOnHold,
      isOpenedOnHold: this.#isOnHold,
    };
    this.#flows.add(flow);
    client.setNoDelay(true);
    target.setNoDelay(true);
    this.#relay(flow, client, { to: target, direction: this.forward });
    this.#relay(flow, target, { to: client, direction: this.backward });
  }

  #relay(
    flow: Flow,
    from: Socket,
    { to, direction }: { to: Socket; direction: LinkDirection },
  ): void {
    const send = (bytes: Uint8Array, deliver: () => void) =>
      direction.send(bytes, () => {
        if (flow.isSilent) {
          flow.heldDeliveries.push(deliver);
        } else {
          deliver();
        }
      });
    from.on("data", (bytes) => {
      if (this.#dropsForward && from === flow.client) {
        return;
      }
      const isBacklogged = send(bytes, () => to.write(bytes));
      if (flow.isSilent) {
        from.pause();
      } else if (isBacklogged) {
        from.pause();
        direction.whenDrained(() => flow.isSilent || from.resume());
      }
    });
    let wasReset = false;
    from.on("error", (error: NodeJS.ErrnoException) => {
      wasReset = error.code === RESET_CODE;
    });
    from.on("close", () => {
      send(new Uint8Array(0), () => {
        if (wasReset) {
          to.resetAndDestroy();
        } else {
          to.destroySoon();
        }
        this.#flows.delete(flow);
      });
    });
  }
}

const RESET_CODE = "ECONNRESET";

/** Delivers what a flow held back, in order, and lets it relay again. */
function resumeFlow(flow: Flow): void {
  flow.isSilent = false;
  flow.heldDeliveries.splice(0).forEach((deliver) => deliver());
  flow.client.resume();
  flow.target.resume();
}
