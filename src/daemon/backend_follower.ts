/**
 * Follows the backend server of a daemon: tells the members of its state and its
 * departure, and resets what its predecessor has said.
 */

import {
  BACKEND_STATES,
  formatDeparture,
  parseDeparture,
} from "../backend/mod.ts";
import type { GossipMembership } from "../membership/mod.ts";
import type { CallEnvironment } from "../request/mod.ts";
import { DECISIONS } from "../telemetry/mod.ts";

/** Dependencies of the follower. */
export interface BackendFollowerOptions {
  readonly environment: CallEnvironment;
  readonly membership: GossipMembership;
  readonly isStopping: () => boolean;
}

/** Keeps the membership and the admission in step with the backend server. */
export class BackendFollower {
  readonly #options: BackendFollowerOptions;
  #knownServerCount = 0;
  #announcedDeparture = "";

  constructor(options: BackendFollowerOptions) {
    this.#options = options;
  }

  /** Publishes the state of the backend server if it has changed. */
  publish(): void {
    const { backend, inboundAdmission } = this.#options.environment;
    const { announcement, state, warmAtMs } = backend;
    const service = state === BACKEND_STATES.absent
      ? ""
      : announcement?.service ?? "";
    const slots = announcement?.slots ?? 0;
    const self = this.#options.membership.self;
    const memberState =
      state === BACKEND_STATES.leaving || this.#options.isStopping()
        ? "leaving"
        : "alive";
    this.#followServer();
    this.#announceDeparture();
    inboundAdmission.setCapacity(slots);
    if (
      self.service !== service || self.slots !== slots ||
      self.warmAtMs !== warmAtMs || self.state !== memberState
    ) {
      this.#options.membership.updateSelf({
        service,
        slots,
        warmAtMs,
        state: memberState,
      });
    }
  }

  /** Announces the latest departure once, since members forget it after a while. */
  #announceDeparture(): void {
    const { departure } = this.#options.environment.backend;
    const text = departure && formatDeparture(departure);
    if (text !== undefined && text !== this.#announcedDeparture) {
      this.#announcedDeparture = text;
      this.#options.membership.announceDeparture(text);
    }
  }

  /** Learns from members that a backend server has left, which an earlier process of this daemon acknowledged. */
  followDeparture(serverId: string): void {
    const { backend, journal } = this.#options.environment;
    const departure = parseDeparture(serverId);
    if (!departure || backend.hasDeparted(departure)) {
      return;
    }
    backend.leave(departure);
    journal.record(DECISIONS.serverLeaving, { serverId, toldBy: "member" });
  }

  /** Forgets what the previous backend server has said. The first one may have said something to an earlier process. */
  #followServer(): void {
    const { backend, backendClient, inboundAdmission, metrics } =
      this.#options.environment;
    const isFirst = this.#knownServerCount === 0;
    if (this.#knownServerCount === backend.serverCount) {
      return;
    }
    this.#knownServerCount = backend.serverCount;
    metrics.clearServerLimit();
    if (isFirst && backendClient.hasStatements) {
      inboundAdmission.awaitFirstStatement();
    } else {
      inboundAdmission.setRequestRate(undefined);
    }
  }
}
