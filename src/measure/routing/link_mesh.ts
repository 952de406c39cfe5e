/**
 * Links between all VMs of a fleet in two regions: one for each VM and region
 * that calls come from.
 */

import { LinkDirection } from "../../testing/link_direction.ts";
import type { LinkOptions } from "../../testing/link_direction.ts";
import { LinkStandIn } from "../../testing/link_stand_in.ts";
import { PORTS } from "../fleet.ts";
import type { VmPlan } from "../fleet.ts";

/** Third byte of a link's address, added to that of the VM it leads to. */
const NEAR_LINK_OFFSET = 100;
const FAR_LINK_OFFSET = 150;

const NEAR_DELAY_MS = 0.5;

/** The links of a fleet. */
export class LinkMesh {
  readonly #near = new Map<string, LinkStandIn>();
  readonly #far = new Map<string, LinkStandIn>();
  readonly #vms: readonly VmPlan[];
  readonly #homeRegion: string;
  /** From the home region to the other one, and back. */
  readonly outward: LinkDirection;
  readonly inward: LinkDirection;

  constructor(
    vms: readonly VmPlan[],
    homeRegion: string,
    character: LinkOptions,
  ) {
    this.#vms = vms;
    this.#homeRegion = homeRegion;
    this.outward = new LinkDirection(character);
    this.inward = new LinkDirection(character);
  }

  /** Bytes that have crossed between the regions. */
  get crossedBytes(): number {
    return this.outward.sentBytes + this.inward.sentBytes;
  }

  /** Starts the links; gives the plans with the addresses to dial. */
  async open(): Promise<VmPlan[]> {
    for (const vm of this.#vms) {
      await this.#openLinks(vm);
    }
    return this.#vms.map((vm) => ({ ...vm, links: this.#listLinks(vm) }));
  }

  /** Connections to a VM fall silent; new ones work. */
  silence(address: string): void {
    this.#near.get(address)?.silenceFlows();
    this.#far.get(address)?.silenceFlows();
  }

  /** A VM can be reached by nobody. */
  cut(address: string): void {
    this.#near.get(address)?.cut();
    this.#far.get(address)?.cut();
  }

  /** Ends all links. */
  close(): void {
    [...this.#near.values(), ...this.#far.values()]
      .forEach((link) => link.close());
  }

  async #openLinks({ address, region }: VmPlan): Promise<void> {
    const shared = region === this.#homeRegion
      ? { forward: this.inward, backward: this.outward }
      : { forward: this.outward, backward: this.inward };
    const near = new LinkStandIn({ oneWayDelayMs: NEAR_DELAY_MS });
    const far = new LinkStandIn({}, shared);
    this.#near.set(address, near);
    this.#far.set(address, far);
    const target = { targetAddress: address, targetPort: PORTS.peer };
    const listenPort = PORTS.peer;
    await near.open({
      ...target,
      listenPort,
      listenAddress: shiftAddress(address, NEAR_LINK_OFFSET),
    });
    await far.open({
      ...target,
      listenPort,
      listenAddress: shiftAddress(address, FAR_LINK_OFFSET),
    });
  }

  #listLinks(from: VmPlan): Record<string, string> {
    return Object.fromEntries(this.#vms.map(({ address, region }) => {
      const offset = region === from.region
        ? NEAR_LINK_OFFSET
        : FAR_LINK_OFFSET;
      return [address, shiftAddress(address, offset)];
    }));
  }
}

function shiftAddress(address: string, offset: number): string {
  return address.split(".")
    .map((byte, index) => index === 2 ? String(Number(byte) + offset) : byte)
    .join(".");
}
