import { test } from "uvu";
import * as assert from "uvu/assert";
import { FairClock } from "./fair_clock.ts";

/** Grants slots one after the other to the account that is next; all accounts always have calls waiting. */
function countGrants(
  holdTimesMs: Readonly<Record<string, number>>,
  grants: number,
): Record<string, number> {
  const clock = new FairClock(0);
  const counts: Record<string, number> = {};
  for (let nowMs = 0; nowMs < grants; nowMs += 1) {
    const waiting = Object.entries(holdTimesMs).map(([account, holdMs]) => ({
      ...{ account, holdMs, share: clock.open(account, nowMs) },
    }));
    const [next] = waiting.sort((one, other) =>
      clock.computeStartMs(one.share) - clock.computeStartMs(other.share)
    );
    if (next) {
      counts[next.account] = (counts[next.account] ?? 0) + 1;
      clock.charge(next.share, { nowMs, holdMs: 20 });
      clock.close(next.share, next.holdMs - 20);
    }
    waiting.slice(1).forEach(({ share }) => clock.close(share));
  }
  return counts;
}

// By count alone, an account with slow calls would get a multiple of the slots of the others.
test("accounts share slot time, whatever their calls take", () => {
  const { slow = 0, quick = 0 } = countGrants({ slow: 30, quick: 15 }, 900);
  assert.ok(Math.abs(quick / slow - 2) < 0.1, `${quick} and ${slow}`);
});

// An account that saved up its unused share would delay all others with its next burst.
test("an account that was idle does not save up slot time", () => {
  const clock = new FairClock(0);
  const busy = clock.open("busy", 0);
  for (let nowMs = 0; nowMs < 100; nowMs += 1) {
    clock.charge(busy, { nowMs, holdMs: 20 });
  }
  const idle = clock.open("idle", 100);
  const leadMs = clock.computeStartMs(busy) - clock.computeStartMs(idle);
  assert.is(leadMs, 20);
});

// An account that asks for a multiple of the others' load would get next to nothing of it.
test("an account that gets much less than what the others get of theirs goes next", () => {
  const clock = new FairClock(0);
  let isServedNext = false;
  for (let round = 0; round < 200; round += 1) {
    const small = clock.open("small", round);
    clock.charge(small, { nowMs: round, holdMs: 20 });
    clock.close(small);
    const calls = Array.from(
      { length: 10 },
      () => clock.open("large", round),
    );
    const [share] = calls;
    isServedNext = share !== undefined &&
      clock.computeStartMs(share) <= clock.computeStartMs(small);
    if (share && isServedNext) {
      clock.charge(share, { nowMs: round, holdMs: 20 });
    }
    calls.forEach((call) => clock.close(call));
  }
  assert.ok(isServedNext);
});

test("the state is bounded with 100,000 accounts, and the busiest one stays exact", () => {
  const clock = new FairClock(0);
  const busy = clock.open("busy", 0);
  for (let index = 0; index < 100_000; index += 1) {
    clock.close(clock.open(`account-${index}`, index));
    if (index % 10 === 0) {
      const share = clock.open("busy", index);
      assert.is(share, busy);
      clock.close(share);
    }
  }
  assert.ok(clock.size <= 128, `${clock.size} shares`);
});

test.run();
