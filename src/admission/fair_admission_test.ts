/** Accounts that compete for the slots of one instance. */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { DaemonMetrics, DecisionJournal } from "../telemetry/mod.ts";
import { ManualClock } from "../testing/manual_clock.ts";
import { AdaptiveAdmission } from "./adaptive_admission.ts";
import type { Permit } from "./inbound_admission.ts";

const HOLD_MS = 20;

interface CallOptions {
  readonly depth?: number;
  readonly classRank?: number;
  readonly requestId?: string;
  readonly timeLeftMs?: number;
}

function createGate(slots = 1) {
  const clock = new ManualClock();
  const journal = new DecisionJournal(clock);
  const admission = new AdaptiveAdmission({
    ...{ clock, journal, metrics: new DaemonMetrics(), instance: 1 },
    listReservedRatios: () => [0, 0, 0],
    isAllowanceUsedUp: (account) => account === "used-up",
  });
  admission.setCapacity(slots);
  const running: { readonly name: string; readonly permit: Permit }[] = [];
  const refused: string[] = [];
  return {
    ...{ clock, journal, running, refused },
    /** Starts a call; `name` is its account, followed by a number if there are several. */
    enter(
      name: string,
      { depth = 0, classRank = 1, requestId = name, timeLeftMs = 1_200 }:
        CallOptions = {},
    ): Promise<void> {
      const [member = ""] = name.split(" ");
      void admission.acquire({
        context: {
          ...{ requestId, requestName: "read", className: "reads", member },
          ...{ tenant: "other", remainingMs: timeLeftMs, retryAllowance: 0 },
          ...{ depth, isRepeatable: true, isBulk: false },
        },
        service: "meters",
        deadlineAtMs: clock.monotonicMs() + timeLeftMs,
        classRank,
        signal: new AbortController().signal,
      }).then((permit) => {
        if (permit.isOk()) {
          running.push({ name, permit: permit.value });
        } else {
          refused.push(name);
        }
      });
      return settle();
    },
    /** Ends the running call and returns the name of the next one. */
    async next(): Promise<string | undefined> {
      clock.advance(HOLD_MS);
      running.shift()?.permit.release({
        ...{ durationMs: HOLD_MS, ownDurationMs: HOLD_MS },
        ...{ isAnswered: true, isShed: false },
      });
      await settle();
      return running[0]?.name;
    },
  };
}

function settle(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

// With one queue for all, the account that fills it first has the others refused.
test("a call is not refused because the queue is full of another account's calls", async () => {
  const gate = createGate();
  for (let call = 0; call < 30; call += 1) {
    await gate.enter(`large ${call}`);
  }
  assert.ok(gate.refused.includes("large 29"));
  await gate.enter("small");
  assert.not.ok(gate.refused.includes("small"));
  assert.is(await gate.next(), "small");
});

test("accounts with waiting calls take turns", async () => {
  const gate = createGate();
  for (const name of ["a 0", "a 1", "a 2", "b 0", "b 1", "c 0"]) {
    await gate.enter(name);
  }
  const order: (string | undefined)[] = [];
  for (let turn = 0; turn < 5; turn += 1) {
    order.push(await gate.next());
  }
  assert.equal(order.slice(0, 2).sort(), ["b 0", "c 0"]);
  assert.equal(order.slice(2), ["a 1", "b 1", "a 2"]);
});

// The queue holds at most 2,000 calls, whatever their remaining time.
test("in a full queue, the newest call of the account with the most calls makes room", async () => {
  const gate = createGate();
  const options = { depth: 1, timeLeftMs: 100_000 };
  for (let call = 0; call <= 2_000; call += 1) {
    void gate.enter(`large ${call}`, options);
  }
  await settle();
  assert.equal(gate.refused, []);
  await gate.enter("large 2001", options);
  assert.equal(gate.refused, ["large 2001"]);
  await gate.enter("small", options);
  assert.equal(gate.refused, ["large 2001", "large 2000"]);
  const [entry] = gate.journal.list({ kind: "account-displacement" });
  assert.is(entry?.facts.account, "large");
});

test("calls that an account with less use delays too long are refused early", async () => {
  const gate = createGate();
  for (let call = 0; call < 13; call += 1) {
    await gate.enter(`large ${call}`);
  }
  const before = gate.refused.length;
  for (let call = 0; call < 12; call += 1) {
    await gate.enter(`small ${call}`);
  }
  gate.clock.advance(60);
  await gate.enter("other");
  assert.ok(gate.refused.length > before, gate.refused.join());
  assert.ok(!gate.refused.includes("small 0"), gate.refused.join());
});

test("accounts that have used up their allowance go last, classes and nested calls first", async () => {
  const gate = createGate();
  await gate.enter("busy");
  await gate.enter("used-up 0");
  await gate.enter("busy 1");
  await gate.enter("used-up 1", { depth: 1 });
  await gate.enter("used-up 2", { classRank: 0 });
  const order: (string | undefined)[] = [];
  for (let turn = 0; turn < 4; turn += 1) {
    order.push(await gate.next());
  }
  assert.equal(order, ["used-up 2", "used-up 1", "busy 1", "used-up 0"]);
});

// In order of expiry, many trees would fail after most of their calls have run.
test("nested calls of the same request have the same rank at every gate", async () => {
  const orders = await Promise.all([1, 2].map(async (number) => {
    const gate = createGate();
    await gate.enter("a", { depth: 1 });
    const requests = ["q", "r", "s", "t"];
    for (const id of number === 1 ? requests : requests.reverse()) {
      await gate.enter(`a ${id}`, { depth: 1, requestId: `${id}.${number}` });
    }
    const order: (string | undefined)[] = [];
    for (let turn = 0; turn < 4; turn += 1) {
      order.push(await gate.next());
    }
    return order;
  }));
  assert.equal(orders[0], orders[1]);
});

// Trees with high ranks expired in queues that all calls would have left in time.
test("in a short queue, nested calls of an account go by expiry", async () => {
  for (let tree = 0; tree < 20; tree += 1) {
    const gate = createGate();
    await gate.enter("a", { depth: 1 });
    await gate.enter("a late", {
      ...{ depth: 1, requestId: `${tree}.1`, timeLeftMs: 900 },
    });
    await gate.enter("a early", {
      ...{ depth: 1, requestId: `${tree + 20}.1`, timeLeftMs: 600 },
    });
    assert.is(await gate.next(), "a early");
  }
});

test.run();
