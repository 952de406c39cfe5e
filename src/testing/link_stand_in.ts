/**
 * A network link between addresses: a TCP relay with delay and limited
 * bandwidth, whose existing flows can fall silent while new ones work.
 */

import { connect, createServer } from "node:net";
import type { Server, Socket } from "node:net";
import { LinkDirection } from "./link_direction.ts";
import type { LinkOptions } from "./link_direction.ts";

/** One address that the link leads to. */
export interface LinkRoute {
  readonly listenAddress: string;
  readonly listenPort: number;
  readonly targetAddress: string;
  readonly targetPort: number;
}

/** Directions that several links have in common. */
export interface SharedDirections {
  readonly forward: LinkDirection;
  readonly backward: LinkDirection;
}

interface Flow {
  readonly near: Socket;
  readonly far: Socket;
  isSilent: boolean;
}

/** A link that carries TCP connections to one or more targets. */
export class LinkStandIn {
  /** Towards the targets. */
  readonly forward: LinkDirection;
  /** From the targets back. */
  readonly backward: LinkDirection;
  readonly #servers: Server[] = [];
  readonly #flows = new Set<Flow>();
  #isCut = false;
  #losesForward = false;

  /** Creates a link; given directions are shared with other links. */
  constructor(character: LinkOptions = {}, shared?: SharedDirections) {
    this.forward = shared?.forward ?? new LinkDirection(character);
    this.backward = shared?.backward ?? new LinkDirection(character);
  }

  /** Connections that are open. */
  get flowCount(): number {
    return this.#flows.size;
  }

  /** Adds an address that leads to a target. */
  open(route: LinkRoute): Promise<void> {
    const server = createServer((near) => this.#accept(near, route));
    this.#servers.push(server);
    return new Promise((resolve, reject) => {
      server.once("error", reject);
      server.listen(route.listenPort, route.listenAddress, resolve);
    });
  }

  /** Existing flows carry nothing from now on, though they stay open; new ones work. */
  silenceFlows(): void {
    for (const flow of this.#flows) {
      flow.isSilent = true;
    }
  }

  /** Silent flows carry again what is sent from now on and what they held back. */
  resumeFlows(): void {
    for (const flow of this.#flows) {
      flow.isSilent = false;
      flow.near.resume();
      flow.far.resume();
    }
  }

  /** What is sent towards the targets is lost, though flows stay open. */
  dropForward(): void {
    this.#losesForward = true;
  }

  /** Nothing is lost any more; flows that have lost something end. */
  stopDropping(): void {
    this.#losesForward = false;
    this.#endFlows();
  }

  /** Ends all flows; new ones work. */
  resetFlows(): void {
    for (const { near, far } of this.#flows) {
      near.resetAndDestroy();
      far.resetAndDestroy();
    }
    this.#flows.clear();
  }

  /** Ends all flows and takes no new ones. */
  cut(): void {
    this.#isCut = true;
    this.#endFlows();
  }

  /** Takes new flows again. */
  restore(): void {
    this.#isCut = false;
  }

  /** Ends everything. */
  close(): void {
    this.#endFlows();
    this.#servers.forEach((server) => server.close());
  }

  #endFlows(): void {
    for (const { near, far } of this.#flows) {
      near.destroy();
      far.destroy();
    }
    this.#flows.clear();
  }

  #accept(near: Socket, route: LinkRoute): void {
    if (this.#isCut) {
      near.destroy();
      return;
    }
    const far = connect({ host: route.targetAddress, port: route.targetPort });
    const flow: Flow = { near, far, isSilent: false };
    this.#flows.add(flow);
    near.setNoDelay(true);
    far.setNoDelay(true);
    this.#relay(flow, near, { to: far, direction: this.forward });
    this.#relay(flow, far, { to: near, direction: this.backward });
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
      if (this.#losesForward && from === flow.near) {
        return;
      }
      const isCrowded = direction.carry(bytes, () => {
        if (!flow.isSilent) {
          to.write(bytes);
        }
      });
      if (isCrowded) {
        from.pause();
        direction.whenClear(() => flow.isSilent || from.resume());
      }
    });
    from.on("error", () => undefined);
    from.on("close", () => {
      if (flow.isSilent) {
        return;
      }
      direction.carry(new Uint8Array(0), () => to.destroy());
      this.#flows.delete(flow);
    });
  }
}
