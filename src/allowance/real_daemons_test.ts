/**
 * Allowances of real daemons in one process, connected by gossip and the peer
 * protocol. Guards against wiring by which shares never reach a holder, or count
 * at two.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { CallController } from "../cancellation/mod.ts";
import {
  computeWindowBound,
  findFullestWindow,
} from "../testing/check_allowance_history.ts";
import { claimNetwork } from "../testing/claim_network.ts";
import type { AllowanceEvent } from "../testing/simulated_allowances.ts";
import { SmallFleet } from "../testing/small_fleet.ts";

const ACCOUNT = { name: "stalls-north", ratePerSecond: 60, burst: 30 };
const ASKED_PER_SECOND = 180;
const USED_PER_SECOND = 54;
const STEP_MS = 10;
/** Time after a shift of the demand from which the allowance must be used. */
const SHIFT_MS = 3_000;
/** More than the delegates of the failure domains, which alone know the whole fleet. */
const DAEMONS = 10;
const DOMAINS = ["gent-a", "namur-a"];
/** Time after the start from which a delegate counts on knowing all members. */
const LEARNING_MS = 6_000;

/** Makes requests at real daemons and records them. */
class Caller {
  readonly events: AllowanceEvent[] = [];
  readonly #fleet: SmallFleet;
  readonly #startedAtMs = performance.now();

  constructor(fleet: SmallFleet) {
    this.#fleet = fleet;
  }

  /** Makes requests for a while; returns the rate of the granted ones after the shift of demand. */
  async ask(durationMs: number, chooseVm: () => number): Promise<number> {
    const fromMs = this.#nowMs();
    const requests: Promise<void>[] = [];
    while (this.#nowMs() - fromMs < durationMs) {
      const dueCount = (this.#nowMs() - fromMs) * ASKED_PER_SECOND / 1_000;
      while (requests.length < dueCount) {
        requests.push(this.#request(chooseVm()));
      }
      await sleep(STEP_MS);
    }
    const toMs = this.#nowMs();
    await Promise.all(requests);
    const granted =
      this.events.filter(({ atMs, isGranted }) =>
        isGranted && atMs >= fromMs + SHIFT_MS && atMs < toMs
      ).length;
    return granted * 1_000 / (toMs - fromMs - SHIFT_MS);
  }

  async #request(vm: number): Promise<void> {
    const { allowances, clock } = this.#fleet.daemons[vm]?.environment ?? {};
    const result = await allowances?.acquire(ACCOUNT, {
      requestId: `request-${this.events.length}`,
      deadlineAtMs: (clock?.monotonicMs() ?? 0) + 2_000,
      signal: new CallController().signal,
    });
    this.events.push({
      ...{ atMs: this.#nowMs(), account: ACCOUNT.name, vm },
      isGranted: result?.isOk() ?? false,
      retryAfterMs: result?.isErr() ? result.error.retryAfterMs : 0,
    });
  }

  #nowMs(): number {
    return performance.now() - this.#startedAtMs;
  }
}

async function withFleet(
  check: (fleet: SmallFleet) => Promise<void>,
): Promise<void> {
  const network = await claimNetwork();
  const fleet = new SmallFleet({
    vms: Array.from({ length: DAEMONS }, (_, index) => ({
      service: "stock",
      address: `127.${network}.1.${index + 1}`,
      failureDomain: DOMAINS[index % DOMAINS.length] ?? "",
      region: index % DOMAINS.length === 0 ? "vlaanderen" : "wallonie",
    })),
    storeAddress: `127.${network}.1.200`,
  });
  try {
    await fleet.start();
    await check(fleet);
  } finally {
    await fleet.stop();
  }
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

test("60 a second with a burst of 30 are used and not exceeded when 180 are asked for, while a daemon is stopped", () =>
  withFleet(async (fleet) => {
    const caller = new Caller(fleet);
    let turn = 0;
    const askInTurn = () => turn = (turn + 1) % (DAEMONS - 1);
    const askOne = () => 3;
    await sleep(LEARNING_MS);
    const spreadRate = await caller.ask(6_000, askInTurn);
    const oneRate = await caller.ask(6_000, askOne);
    const stopped = fleet.daemons[DAEMONS - 1]?.stop();
    await caller.ask(3_000, askInTurn);
    await stopped;
    const afterStopRate = await caller.ask(6_000, askInTurn);
    const rates = [spreadRate, oneRate, afterStopRate];
    assert.ok(
      rates.every((rate) => rate >= USED_PER_SECOND),
      `${rates.map((rate) => rate.toFixed(1)).join(", ")} a second`,
    );
    const { count } = findFullestWindow(caller.events, ACCOUNT.name);
    const bound = computeWindowBound(ACCOUNT);
    assert.ok(count <= bound, `${count} of ${bound} in 5 s`);
    const statuses = fleet.daemons.map(({ environment }) =>
      environment.allowances.describe()
    );
    assert.ok(
      statuses.some((status) =>
        status?.held.some(({ shares }) => shares >= DAEMONS - 1)
      ),
      "a holder has the shares of all daemons",
    );
    const [refused] = caller.events.filter(({ isGranted }) => !isGranted);
    assert.ok(refused && refused.retryAfterMs > 0);
  }));

test.run();
