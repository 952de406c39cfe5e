/**
 * Single faults of allowances, each with the parts that have to withstand it.
 */

import { suite } from "uvu";
import * as assert from "uvu/assert";
import fc from "fast-check";
import { CallController } from "../cancellation/mod.ts";
import { computeWindowBound } from "../testing/check_allowance_history.ts";
import { createMemberRecord } from "../testing/create_member_record.ts";
import { ManualClock } from "../testing/manual_clock.ts";
import { SimulatedAllowances } from "../testing/simulated_allowances.ts";
import { REASONS } from "../outcome/mod.ts";
import { RandomSource } from "../time/mod.ts";
import { AllowanceFleet, AllowanceMessenger } from "./allowance_fleet.ts";
import type { FleetMember } from "./allowance_fleet.ts";
import { AllowanceHolder } from "./allowance_holder.ts";
import { BorrowedTokens } from "./borrowed_tokens.ts";
import { BorrowerAccount } from "./borrower_account.ts";
import { countMembers } from "./count_members.ts";
import { decodeAllowanceMessage } from "./decode_allowance_message.ts";
import { encodeAllowanceMessage } from "./encode_allowance_message.ts";
import { OwnShare } from "./own_share.ts";
import { SharedAllowances } from "./shared_allowances.ts";
import { SilentMembers } from "./silent_members.ts";

const LIMITS = { ratePerSecond: 60, burst: 30 };

interface HolderContext {
  clock: ManualClock;
  holder: AllowanceHolder;
  limits: { ratePerSecond: number; burst: number };
}

const holderTest = suite<HolderContext>("holder of allowances");

holderTest.before.each((context) => {
  context.clock = new ManualClock();
  context.limits = { ...LIMITS };
  context.holder = new AllowanceHolder({
    clock: context.clock,
    random: new RandomSource(5),
    readLimits: () => context.limits,
    gather: () => undefined,
  });
});

/** Sends the whole share of a fleet of one, unused for `unusedMs`, and asks for tokens. */
async function ask(
  { clock, holder, limits }: HolderContext,
  { sequence, needed = 0, returned = 0, unusedMs = 0, share = true }: {
    readonly sequence: number;
    readonly needed?: number;
    readonly returned?: number;
    readonly unusedMs?: number;
    readonly share?: boolean;
  },
): Promise<number> {
  const replied = holder.receive({
    ...{ kind: "update" as const, sender: "borrower", sequence },
    shares: share ? [{ group: 0, memberCount: 1, unusedMs }] : [],
    demands: [{
      ...{ name: "north", ...limits, needed, returned },
      ...{ expected: 0, held: 0, demandPerSecond: 1 },
    }],
  }, 1_000);
  await Promise.resolve();
  clock.advance(share ? 0 : 200);
  const { loans } = await replied;
  return loans[0]?.count ?? 0;
}

holderTest(
  "a share that was used elsewhere until now brings no burst",
  async (context) => {
    const lent = await ask(context, { sequence: 1, needed: 100 });
    assert.ok(lent <= 7, `${lent} lent in advance`);
  },
);

holderTest("a share that was unused brings its burst", async (context) => {
  const lent = await ask(context, {
    ...{ sequence: 1, needed: 100, unusedMs: 60_000 },
  });
  // What is lent at once, with the tokens of 5.4 s, must fit into the window.
  const bound = computeWindowBound(LIMITS) - 5.4 * LIMITS.ratePerSecond;
  assert.ok(lent >= 30 && lent <= bound, `${lent} of ${bound} lent`);
});

holderTest(
  "a duplicate or late message returns no tokens and gets none",
  async (context) => {
    await ask(context, { sequence: 7, needed: 100, unusedMs: 60_000 });
    assert.is(await ask(context, { sequence: 7, needed: 5, returned: 30 }), 0);
    assert.is(await ask(context, { sequence: 6, needed: 5, returned: 30 }), 0);
    assert.ok(await ask(context, { sequence: 8, needed: 5, returned: 30 }) > 0);
  },
);

holderTest(
  "a holder that was paused has no shares when it wakes",
  async (context) => {
    await ask(context, { sequence: 1, unusedMs: 60_000 });
    context.clock.advance(3_000);
    assert.is(context.holder.getFraction(0), 0);
    assert.is(
      await ask(context, { sequence: 2, needed: 10, share: false }),
      0,
    );
  },
);

holderTest(
  "a lowered limit cuts the tokens that have accrued",
  async (context) => {
    await ask(context, { sequence: 1, needed: 1, unusedMs: 60_000 });
    context.limits = { ratePerSecond: 2, burst: 0 };
    const lent = await ask(context, { sequence: 2, needed: 100 });
    assert.ok(lent <= 9, `${lent} lent`);
  },
);

holderTest(
  "accounts without recent demand are forgotten, and at most 100,000 are kept",
  async ({ clock, holder }) => {
    let sequence = 0;
    for (let batch = 0; batch < 1_200; batch += 1) {
      sequence += 1;
      const demands = Array.from({ length: 100 }, (_, index) => ({
        ...{ name: `account-${batch}-${index}`, ratePerSecond: 1, burst: 1 },
        ...{ needed: 0, expected: 0, held: 0, demandPerSecond: 1, returned: 0 },
      }));
      const shares = [{ group: 0, memberCount: 1, unusedMs: 60_000 }];
      const message = { kind: "update" as const, sender: "borrower", sequence };
      await holder.receive({ ...message, shares, demands }, 1_000);
    }
    const count = () =>
      holder.describe().reduce((sum, { accounts }) => sum + accounts, 0);
    assert.is(count(), 100_000);
    clock.advance(20_000);
    holder.maintain();
    const { loans } = await holder.receive({
      ...{ kind: "update", sender: "borrower", sequence: sequence + 1 },
      ...{ shares: [{ group: 0, memberCount: 1, unusedMs: 0 }], demands: [] },
    }, 1_000);
    assert.equal(loans, []);
    assert.is(count(), 0);
  },
);

holderTest(
  "many isolated parts of a low rate grant what they add up to",
  async () => {
    const clock = new ManualClock();
    const daemons = 60;
    const holders = Array.from(
      { length: daemons },
      (_, index) =>
        new AllowanceHolder({
          ...{ clock, random: new RandomSource(index + 1) },
          readLimits: () => ({ ratePerSecond: 2, burst: 0 }),
          gather: () => undefined,
        }),
    );
    let granted = 0;
    const seconds = 200;
    for (let second = 0; second < seconds; second += 1) {
      const replies = holders.map((holder) =>
        holder.receive({
          ...{ kind: "update", sender: "self", sequence: second + 1 },
          shares: [{ group: 0, memberCount: daemons, unusedMs: 0 }],
          demands: [{
            ...{ name: "slow", ratePerSecond: 2, burst: 0, needed: 1 },
            ...{ expected: 0, held: 0, demandPerSecond: 1, returned: 0 },
          }],
        }, 1_500)
      );
      clock.advance(1_000);
      for (const { loans } of await Promise.all(replies)) {
        granted += loans[0]?.count ?? 0;
      }
    }
    const perSecond = granted / seconds;
    assert.ok(perSecond > 1.5 && perSecond < 2.5, `${perSecond} a second`);
  },
);

holderTest.run();

const borrowerTest = suite("borrower of allowances");

borrowerTest(
  "tokens in hand are not used after a pause, and are returned once",
  () => {
    const tokens = new BorrowedTokens();
    tokens.add(5, { holder: "holder", expiresAtMs: 400 });
    assert.ok(tokens.take(399));
    assert.is(tokens.take(3_000), undefined);
    assert.is(tokens.takeUnused("holder", 3_000), 4);
    assert.is(tokens.takeUnused("holder", 3_000), 0);
  },
);

borrowerTest(
  "the token of a request that reached no server is used again, or returned if it has expired",
  () => {
    const tokens = new BorrowedTokens();
    tokens.add(1, { holder: "holder", expiresAtMs: 400 });
    const first = tokens.take(100);
    assert.ok(first);
    tokens.putBack(first, 200);
    const second = tokens.take(300);
    assert.ok(second);
    tokens.putBack(second, 500);
    assert.is(tokens.take(500), undefined);
    assert.is(tokens.takeUnused("other", 500), 0);
    assert.is(tokens.takeUnused("holder", 500), 0, "forgotten by the change");
  },
);

borrowerTest("a lowered limit takes the tokens in hand away", () => {
  const account = new BorrowerAccount("north", LIMITS);
  account.recordRequest(LIMITS, 0);
  account.tokens.add(9, { holder: "holder", expiresAtMs: 400 });
  account.recordRequest({ ratePerSecond: 10, burst: 0 }, 10);
  assert.is(account.tokens.take(10), undefined);
});

borrowerTest("refused requests are told to return one after the other", () => {
  const account = new BorrowerAccount("north", LIMITS);
  const random = new RandomSource(3);
  account.receive(
    {
      ...{ name: "north", count: 0, retryInMs: 100 },
      ...{ spacingMs: 50, askAgainMs: 60 },
    },
    { holder: "holder", expiresAtMs: 400 },
    0,
  );
  const delays = Array.from({ length: 400 }, () => account.refuse(0, random));
  assert.equal(delays.slice(0, 3), [150, 200, 250]);
  assert.ok(delays.every((delayMs) => delayMs > 0 && delayMs <= 5_000));
  assert.ok(new Set(delays.slice(200)).size > 50, "late ones are spread");
});

borrowerTest(
  "a share is with one holder until its delegation has expired",
  () => {
    const share = new OwnShare(0);
    assert.not(share.isAvailable("one", 1_100), "just started");
    assert.ok(share.isAvailable("one", 1_200));
    share.delegate("one", 1_200);
    assert.ok(share.isAvailable("one", 1_700));
    assert.not(share.isAvailable("other", 2_250));
    assert.ok(share.isAvailable("other", 2_300));
    assert.is(share.getUnusedMs(3_300), 1_000);
  },
);

/** Creates the control of a daemon in a fleet of one, with a clock that counts its timers. */
function createSingle() {
  const clock = new ManualClock();
  const schedule = clock.schedule.bind(clock);
  const timers = { count: 0 };
  clock.schedule = (delayMs, callback) => {
    timers.count += 1;
    return schedule(delayMs, callback);
  };
  const control = new SharedAllowances({
    ...{ clock, random: new RandomSource(1), fleet: new SingleFleet() },
    messenger: new UnusedMessenger(),
    readLimits: () => undefined,
  });
  return { clock, control, timers };
}

class SingleFleet extends AllowanceFleet {
  override readonly self = "only";
  override readonly memberCount = 1;

  override listCandidates(): readonly FleetMember[] {
    return [{ incarnation: "only", address: "", peerPort: 0 }];
  }

  override listMembers(): readonly FleetMember[] {
    return [];
  }

  override refresh(): void {
    // There is nobody to learn of.
  }

  override onChange(): void {
    // The fleet does not change.
  }
}

class UnusedMessenger extends AllowanceMessenger {
  override update(): Promise<undefined> {
    throw new Error("a fleet of one sends no message");
  }

  override invite(): void {
    throw new Error("a fleet of one sends no invitation");
  }
}

borrowerTest(
  "accounts without a limit cause no message and no timer",
  async () => {
    const { clock, control, timers } = createSingle();
    const { signal } = new CallController();
    const options = { requestId: "one", deadlineAtMs: 9e15, signal };
    for (const account of [{ name: "a" }, { name: "b", ratePerSecond: 0 }]) {
      const permit = await control.acquire(account, options);
      assert.ok(permit.isOk());
    }
    clock.advance(10_000);
    assert.is(timers.count, 0);
  },
);

borrowerTest(
  "a request that is cancelled while it waits takes no token",
  async () => {
    const { clock, control } = createSingle();
    const controller = new CallController();
    const account = { name: "north", ratePerSecond: 10, burst: 5 };
    const deadlineAtMs = clock.monotonicMs() + 2_000;
    const cancelled = control.acquire(account, {
      ...{ requestId: "one", deadlineAtMs, signal: controller.signal },
    });
    controller.abort();
    const result = await cancelled;
    assert.is(result.isErr() && result.error.reason, REASONS.cancelled);
    assert.is(control.describe().accounts[0]?.granted, 0);
    assert.not(control.isUsedUp("north"));
  },
);

borrowerTest("messages end some seconds after the last request", async () => {
  const fleet = new SimulatedAllowances({ seed: 1, daemons: 3, domains: 1 });
  fleet.setLimits("north", LIMITS);
  await fleet.run(5_000, () => fleet.request(1, "north"));
  await fleet.run(12_000, () => undefined);
  const { messageCount } = fleet;
  await fleet.run(5_000, () => undefined);
  assert.is(fleet.messageCount, messageCount);
});

borrowerTest(
  "a token returned by the caller can be used by the next request",
  async () => {
    const fleet = new SimulatedAllowances({ seed: 2, daemons: 3, domains: 1 });
    fleet.setLimits("north", { ratePerSecond: 10, burst: 0 });
    fleet.onGranted = (permit) => {
      permit.giveBack();
      permit.giveBack();
    };
    await fleet.run(3_000, () => undefined);
    await fleet.run(4_000, () => fleet.request(1, "north"));
    const refused = fleet.events.filter(({ atMs, isGranted }) =>
      !isGranted && atMs > 4_000
    );
    assert.is(refused.length, 0, "returned tokens suffice for all");
  },
);

borrowerTest.run();

const formTest = suite("messages and members");

formTest(
  "messages are decoded as they were encoded, and anything else is rejected",
  () => {
    const message = {
      ...{ kind: "update" as const, sender: "one", sequence: 4 },
      shares: [{ group: 0, memberCount: 60, unusedMs: 12 }],
      demands: [{
        ...{ name: "north", ratePerSecond: 60, burst: 30, needed: 2 },
        ...{ expected: 5, held: 3, demandPerSecond: 17.25, returned: 1 },
      }],
    };
    const bytes = encodeAllowanceMessage(message);
    assert.equal(decodeAllowanceMessage.update(bytes), message);
    assert.is(decodeAllowanceMessage.reply(bytes), undefined);
    assert.is(decodeAllowanceMessage.invitation(bytes), undefined);
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 64 }), (noise) => {
        decodeAllowanceMessage.update(noise);
        decodeAllowanceMessage.reply(noise);
        const changed = Uint8Array.from(
          bytes,
          (byte, index) =>
            byte ^ (noise[index % Math.max(1, noise.length)] ?? 0),
        );
        decodeAllowanceMessage.update(changed);
      }),
      { seed: 9, numRuns: 500 },
    );
  },
);

formTest(
  "silent members count, members that left and processes with a successor do not",
  () => {
    const silent = new SilentMembers();
    const member = (name: string, changes: object) => ({
      ...createMemberRecord(name, {
        address: `10.0.0.${name}`,
        startedAtMs: 5,
      }),
      ...changes,
    });
    silent.add("2");
    silent.add("4");
    const records = [
      member("1", {}),
      member("2", { state: "dead" }),
      member("3", { state: "dead" }),
      member("4", { state: "dead" }),
      member("5", { address: "10.0.0.4", startedAtMs: 9 }),
      member("6", { state: "leaving" }),
      member("7", { state: "dead", startedAtMs: 0 }),
    ];
    assert.is(countMembers(records, silent), 4);
  },
);

formTest.run();
