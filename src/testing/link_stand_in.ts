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
}

/** A link that relays TCP connections to one or more targets. */
export class LinkStandIn {
  /** Towards the targets. */
  readonly forward: LinkDirection;
  /** From the targets. */
  readonly backward: LinkDirection;
  readonly #servers: Server[] = [];
  readonly #flows = new Set<Flow>();
  #isCut = false;
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

  /** Resumes the silent flows, including the bytes that they held back. */
  resumeFlows(): void {
    for (const flow of this.#flows) {
      flow.isSilent = false;
      flow.client.resume();
      flow.target.resume();
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
    const flow: Flow = { client, target, isSilent: false };
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
    from.on("data", (bytes) => {
      if (flow.isSilent) {
        from.pause();
        from.unshift(bytes);
        return;
      }
      if (this.#dropsForward && from === flow.client) {
        return;
      }
      const isBacklogged = direction.send(bytes, () => {
        if (!flow.isSilent) {
          to.write(bytes);
        }
      });
      if (isBacklogged) {
        from.pause();
        direction.whenDrained(() => flow.isSilent || from.resume());
      }
    });
    from.on("error", () => undefined);
    from.on("close", () => {
      if (flow.isSilent) {
        return;
      }
      direction.send(new Uint8Array(0), () => to.destroy());
      this.#flows.delete(flow);
    });
  }
}
