/**
 * What a daemon does for the membership from time to time.
 */

import type { MemberRecord } from "../generated/types.ts";
import { chooseDelegates } from "./choose_delegates.ts";
import type { DomainExchange } from "./domain_exchange.ts";
import type { FailureDetector } from "./failure_detector.ts";
import { PROBE_INTERVAL_MS } from "./failure_detector.ts";
import type { GossipContext } from "./gossip_context.ts";
import type { InstanceView } from "./instance_view.ts";
import type { RecordIntake } from "./record_intake.ts";
import type { RecordPuller } from "./record_puller.ts";
import type { Rejoiner } from "./rejoiner.ts";
import type { RumorSpreader } from "./rumor_spreader.ts";
import type { SeedKeeper } from "./seed_keeper.ts";

/** Interval at which news is sent and short deadlines are checked, in milliseconds. */
export const TICK_INTERVAL_MS = 100;

/** Gap between two ticks from which the daemon counts as having been paused, in milliseconds. */
const PAUSE_MS = 1_000;

/** Interval at which records that are not needed any more are forgotten, in milliseconds. */
const FORGET_INTERVAL_MS = 60_000;

/** Protocols that have something to do from time to time. */
export interface DutyParts {
  readonly detector: FailureDetector;
  readonly exchange: DomainExchange;
  readonly puller: RecordPuller;
  readonly spreader: RumorSpreader;
  readonly rejoiner: Rejoiner;
  readonly seedKeeper: SeedKeeper;
  readonly intake: RecordIntake;
  readonly view: InstanceView;
}

/** Runs the duties of one daemon as they fall due. */
export class PeriodicDuties {
  readonly #context: GossipContext;
  readonly #parts: DutyParts;
  #isDelegate = false;
  #lastTickAtMs: number;
  #nextProbeAtMs: number;
  #nextForgetAtMs = 0;

  constructor(context: GossipContext, parts: DutyParts) {
    this.#context = context;
    this.#parts = parts;
    this.#lastTickAtMs = context.clock.monotonicMs();
    this.#nextProbeAtMs = this.#lastTickAtMs +
      context.random.nextFloat() * PROBE_INTERVAL_MS;
  }

  /** Whether this daemon speaks for its failure domain. */
  get isDelegate(): boolean {
    return this.#isDelegate;
  }

  /** Delegates of the own failure domain. */
  listDelegates(): MemberRecord[] {
    const { table } = this.#context;
    return chooseDelegates(table.listDomain(table.self.failureDomain));
  }

  /** Does what is due. */
  tick(): void {
    const { detector, exchange, puller, spreader } = this.#parts;
    const nowMs = this.#context.clock.monotonicMs();
    if (nowMs - this.#lastTickAtMs > PAUSE_MS) {
      detector.restart();
      exchange.restart();
    }
    this.#lastTickAtMs = nowMs;
    spreader.refill(TICK_INTERVAL_MS);
    spreader.spread();
    exchange.flush();
    puller.pullDue();
    if (nowMs >= this.#nextProbeAtMs) {
      this.#nextProbeAtMs = Math.max(
        this.#nextProbeAtMs + PROBE_INTERVAL_MS,
        nowMs,
      );
      this.#tickSlowly(nowMs);
    }
  }

  #tickSlowly(nowMs: number): void {
    const { detector, exchange, rejoiner, seedKeeper } = this.#parts;
    this.#updateDelegates();
    detector.evictSuspects();
    detector.probeNext();
    exchange.probeNext();
    seedKeeper.tick();
    rejoiner.tick();
    this.#context.table.forgetDead();
    if (nowMs >= this.#nextForgetAtMs) {
      this.#nextForgetAtMs = nowMs + FORGET_INTERVAL_MS;
      this.#forgetUnwanted();
    }
  }

  #updateDelegates(): void {
    const delegates = this.listDelegates();
    const own = this.#context.table.self.incarnation;
    this.#isDelegate = delegates.some(({ incarnation }) => incarnation === own);
    this.#parts.view.updateUnreachable(delegates);
  }

  #forgetUnwanted(): void {
    const { intake, view } = this.#parts;
    for (const record of intake.dropUnwanted()) {
      view.noteChange(record, undefined);
    }
  }
}
