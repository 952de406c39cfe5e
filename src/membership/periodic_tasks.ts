/**
 * Schedules the periodic work of the gossip protocols.
 */

import type { MemberRecord } from "../generated/types.ts";
import { chooseDelegates } from "./choose_delegates.ts";
import type { CrossDomainGossip } from "./cross_domain_gossip.ts";
import type { FailureDetector } from "./failure_detector.ts";
import { PROBE_INTERVAL_MS } from "./failure_detector.ts";
import type { GossipContext } from "./gossip_context.ts";
import type { InstanceView } from "./instance_view.ts";
import type { RecordReceiver } from "./record_receiver.ts";
import type { RecordPuller } from "./record_puller.ts";
import type { Rejoiner } from "./rejoiner.ts";
import type { RumorSpreader } from "./rumor_spreader.ts";
import type { SeedListManager } from "./seed_list_manager.ts";

/** Interval at which rumors, queued changes and due pulls are sent, in milliseconds. */
export const TICK_INTERVAL_MS = 100;

/**
 * Time between two ticks above which the process is considered to have been
 * paused, in milliseconds.
 */
const PAUSE_THRESHOLD_MS = 1_000;

/** Interval at which records that are no longer needed are removed, in milliseconds. */
const CLEANUP_INTERVAL_MS = 60_000;

/** Components with periodic work. */
export interface PeriodicTaskComponents {
  readonly detector: FailureDetector;
  readonly crossDomain: CrossDomainGossip;
  readonly puller: RecordPuller;
  readonly spreader: RumorSpreader;
  readonly rejoiner: Rejoiner;
  readonly seedLists: SeedListManager;
  readonly receiver: RecordReceiver;
  readonly view: InstanceView;
}

/** Runs the periodic work of one daemon when it is due. */
export class PeriodicTasks {
  readonly #context: GossipContext;
  readonly #components: PeriodicTaskComponents;
  #isDelegate = false;
  #lastTickAtMs: number;
  #nextProbeAtMs: number;
  #nextCleanupAtMs = 0;

  constructor(context: GossipContext, components: PeriodicTaskComponents) {
    this.#context = context;
    this.#components = components;
    this.#lastTickAtMs = context.clock.monotonicMs();
    this.#nextProbeAtMs = this.#lastTickAtMs +
      context.random.nextFloat() * PROBE_INTERVAL_MS;
  }

  /** Whether this daemon is a delegate of its failure domain. */
  get isDelegate(): boolean {
    return this.#isDelegate;
  }

  /** Lists the delegates of this daemon's failure domain. */
  listDelegates(): MemberRecord[] {
    const { table } = this.#context;
    return chooseDelegates(table.listDomain(table.self.failureDomain));
  }

  /** Runs the tasks that are due. Called every {@link TICK_INTERVAL_MS}. */
  tick(): void {
    const { detector, crossDomain, puller, spreader } = this.#components;
    const nowMs = this.#context.clock.monotonicMs();
    if (nowMs - this.#lastTickAtMs > PAUSE_THRESHOLD_MS) {
      detector.resetTimeouts();
      crossDomain.reset();
    }
    this.#lastTickAtMs = nowMs;
    spreader.refill(TICK_INTERVAL_MS);
    spreader.spread();
    crossDomain.flush();
    puller.sendDuePulls();
    if (nowMs >= this.#nextProbeAtMs) {
      this.#nextProbeAtMs = Math.max(
        this.#nextProbeAtMs + PROBE_INTERVAL_MS,
        nowMs,
      );
      this.#runProbeInterval(nowMs);
    }
  }

  #runProbeInterval(nowMs: number): void {
    const { detector, crossDomain, rejoiner, seedLists } = this.#components;
    this.#updateDelegates();
    detector.evictSuspects();
    detector.probeNext();
    crossDomain.probeNext();
    seedLists.tick();
    rejoiner.rejoinLostMember();
    rejoiner.introduceAfterStart();
    this.#context.table.removeExpiredDead();
    this.#context.table.removeExpiredNotices();
    if (nowMs >= this.#nextCleanupAtMs) {
      this.#nextCleanupAtMs = nowMs + CLEANUP_INTERVAL_MS;
      this.#removeUnneededRecords();
    }
  }

  #updateDelegates(): void {
    const delegates = this.listDelegates();
    const own = this.#context.table.self.incarnation;
    this.#isDelegate = delegates.some(({ incarnation }) => incarnation === own);
    this.#components.view.updateUnreachable(delegates);
  }

  #removeUnneededRecords(): void {
    const { receiver, view } = this.#components;
    for (const record of receiver.removeUnneeded()) {
      view.handleChange(record, undefined);
    }
  }
}
