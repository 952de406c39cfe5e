/**
 * Backend servers that said in an answer that they leave, as this daemon passed
 * on to its callers.
 *
 * The daemon beside such a server turns calls away, but forgets the server's
 * words when it is restarted, while the server's announcements may still say that
 * it is ready. Daemons that know better therefore name the server in their calls.
 */

import type { MemberRecord } from "../generated/types.ts";
import { formatPeerAddress } from "../peer/mod.ts";

/** Maximum number of VMs whose leaving server is remembered; beyond it, the oldest is forgotten. */
const MAX_SERVERS = 1_024;

/** Remembers the last leaving server of each VM. */
export class LeavingServers {
  readonly #serversByVm = new Map<string, string>();

  /** Returns the id of the server of a VM that said that it leaves, if any; another server may have taken its place. */
  find(vm: MemberRecord): string | undefined {
    return this.#serversByVm.get(formatPeerAddress(vm));
  }

  /** Records that the server of a VM said that it leaves. */
  add(vm: MemberRecord, serverId: string): void {
    const key = formatPeerAddress(vm);
    this.#serversByVm.delete(key);
    this.#serversByVm.set(key, serverId);
    const [oldest] = this.#serversByVm.keys();
    if (this.#serversByVm.size > MAX_SERVERS && oldest !== undefined) {
      this.#serversByVm.delete(oldest);
    }
  }
}
