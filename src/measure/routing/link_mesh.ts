/**
 * Simulated network links between the VMs of a fleet in two regions. Each VM has one
 * link for connections from its own region and one for those from the other region.
 */

import { LinkDirection } from "../../testing/link_direction.ts";
import type { LinkOptions } from "../../testing/link_direction.ts";
import { LinkStandIn } from "../../testing/link_stand_in.ts";
import { PORTS } from "../fleet.ts";
import type { VmPlan } from "../fleet.ts";

/** Offset of the third byte of a link's listen address from that of the VM's address. */
const SAME_REGION_OFFSET = 100;
const CROSS_REGION_OFFSET = 150;

const SAME_REGION_DELAY_MS = 0.5;

/** Links to all VMs of a fleet. */
export class LinkMesh {
  readonly #sameRegionLinks = new Map<string, LinkStandIn>();
  readonly #crossRegionLinks = new Map<string, LinkStandIn>();
  readonly #vms: readonly VmPlan[];
  readonly #homeRegion: string;
  /** From the home region to the other region. */
  readonly outbound: LinkDirection;
  /** From the other region to the home region. */
  readonly inbound: LinkDirection;

  constructor(
    vms: readonly VmPlan[],
    homeRegion: string,
    options: LinkOptions,
  ) {
    this.#vms = vms;
    this.#homeRegion = homeRegion;
    this.outbound = new LinkDirection(options);
    this.inbound = new LinkDirection(options);
  }

  /** Bytes transferred between the regions in both directions. */
  get crossRegionBytes(): number {
    return this.outbound.sentBytes + this.inbound.sentBytes;
  }

  /** Starts the links; returns the VM plans with the link addresses to connect to. */
  async open(): Promise<VmPlan[]> {
    for (const vm of this.#vms) {
      await this.#openLinks(vm);
    }
    return this.#vms.map((vm) => ({
      ...vm,
      links: this.#listLinkAddresses(vm),
    }));
  }

  /** Makes established connections to a VM unresponsive without closing them; new connections work. */
  silenceConnections(address: string): void {
    this.#sameRegionLinks.get(address)?.silenceFlows();
    this.#crossRegionLinks.get(address)?.silenceFlows();
  }

  /** Makes a VM unreachable. */
  disconnect(address: string): void {
    this.#sameRegionLinks.get(address)?.cut();
    this.#crossRegionLinks.get(address)?.cut();
  }

  /** Closes all links. */
  close(): void {
    [...this.#sameRegionLinks.values(), ...this.#crossRegionLinks.values()]
      .forEach((link) => link.close());
  }

  async #openLinks({ address, region }: VmPlan): Promise<void> {
    const shared = region === this.#homeRegion
      ? { forward: this.inbound, backward: this.outbound }
      : { forward: this.outbound, backward: this.inbound };
    const sameRegionLink = new LinkStandIn({
      oneWayDelayMs: SAME_REGION_DELAY_MS,
    });
    const crossRegionLink = new LinkStandIn({}, shared);
    this.#sameRegionLinks.set(address, sameRegionLink);
    this.#crossRegionLinks.set(address, crossRegionLink);
    const target = { targetAddress: address, targetPort: PORTS.peer };
    const listenPort = PORTS.peer;
    await sameRegionLink.open({
      ...target,
      listenPort,
      listenAddress: shiftAddress(address, SAME_REGION_OFFSET),
    });
    await crossRegionLink.open({
      ...target,
      listenPort,
      listenAddress: shiftAddress(address, CROSS_REGION_OFFSET),
    });
  }

  #listLinkAddresses(from: VmPlan): Record<string, string> {
    return Object.fromEntries(this.#vms.map(({ address, region }) => {
      const offset = region === from.region
        ? SAME_REGION_OFFSET
        : CROSS_REGION_OFFSET;
      return [address, shiftAddress(address, offset)];
    }));
  }
}

function shiftAddress(address: string, offset: number): string {
  return address.split(".")
    .map((byte, index) => index === 2 ? String(Number(byte) + offset) : byte)
    .join(".");
}
