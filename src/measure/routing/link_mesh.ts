/**
 * Links between all VMs of a fleet in two regions: one for each VM and region
 * that calls come from.
 */

import { LinkDirection } from "../../testing/link_direction.ts";
import type { LinkCharacter } from "../../testing/link_direction.ts";
import { LinkStandIn } from "../../testing/link_stand_in.ts";
import { PORTS } from "../fleet.ts";
import type { VmPlan } from "../fleet.ts";

/** Third byte of a link's address, added to that of the VM it leads to. */
const SAME_REGION_OFFSET = 100;
const CROSS_REGION_OFFSET = 150;

const SAME_REGION_DELAY_MS = 0.5;

/** The links of a fleet. */
export class LinkMesh {
  readonly #sameRegionLinks = new Map<string, LinkStandIn>();
  readonly #crossRegionLinks = new Map<string, LinkStandIn>();
  readonly #vms: readonly VmPlan[];
  readonly #homeRegion: string;
  /** From the home region to the other one, and back. */
  readonly outbound: LinkDirection;
  readonly inbound: LinkDirection;

  constructor(
    vms: readonly VmPlan[],
    homeRegion: string,
    options: LinkCharacter,
  ) {
    this.#vms = vms;
    this.#homeRegion = homeRegion;
    this.outbound = new LinkDirection(options);
    this.inbound = new LinkDirection(options);
  }

  /** Bytes that have crossed between the regions. */
  get crossRegionBytes(): number {
    return this.outbound.carriedBytes + this.inbound.carriedBytes;
  }

  /** Starts the links; gives the plans with the addresses to dial. */
  async open(): Promise<VmPlan[]> {
    for (const vm of this.#vms) {
      await this.#openLinks(vm);
    }
    return this.#vms.map((vm) => ({
      ...vm,
      links: this.#listLinkAddresses(vm),
    }));
  }

  /** Connections to a VM fall silent; new ones work. */
  silenceConnections(address: string): void {
    this.#sameRegionLinks.get(address)?.silenceFlows();
    this.#crossRegionLinks.get(address)?.silenceFlows();
  }

  /** A VM can be reached by nobody. */
  cut(address: string): void {
    this.#sameRegionLinks.get(address)?.cut();
    this.#crossRegionLinks.get(address)?.cut();
  }

  /** Ends all links. */
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
