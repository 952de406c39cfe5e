import { test } from "uvu";
import * as assert from "uvu/assert";
import type { CrashNotice, RequestNotice } from "../quarantine/mod.ts";
import { createMemberRecord } from "../testing/create_member_record.ts";
import { createSimulatedFleetPlan } from "../testing/create_simulated_fleet_plan.ts";
import { SimulatedFleet } from "../testing/simulated_fleet.ts";
import type { SimulatedMember } from "../testing/simulated_fleet.ts";
import {
  copyNotice,
  createNoticeRecords,
  isCopy,
  isExpiredNotice,
  isNotice,
  NOTICE_RETENTION_MS,
  readNotice,
} from "./notice_record.ts";

/** Time within which daemons in contact must know of a crash, in milliseconds. */
const CONTACT_MS = 4_000;
const LOSS_RATIO = 0.1;
const JOIN_MS = 10_000;
const DOMAIN_COUNT = 4;
const FIRST_DOMAIN = "domain-0";
const CUT_OFF_DOMAIN = "domain-3";

function createCrash(changes: Partial<CrashNotice> = {}): CrashNotice {
  return {
    kind: "crash",
    processId: "AbC._1234567",
    vmAddress: "127.0.0.1",
    service: "stock",
    atMs: 1_800_000_000_000,
    callCount: 3,
    fingerprints: ["aaaaaaaaaaaa", "bbbbbbbbbbbb", "cccccccccccc"],
    ...changes,
  };
}

function createFingerprints(count: number): string[] {
  return Array.from(
    { length: count },
    (_, index) => String(index).padStart(12, "f"),
  );
}

async function startFleet(
  seed: number,
  membersPerDomain = 5,
): Promise<SimulatedFleet> {
  const fleet = new SimulatedFleet(createSimulatedFleetPlan({
    ...{ seed, membersPerDomain, domains: DOMAIN_COUNT },
    ...{ services: 8, entryServices: 2 },
  }));
  await fleet.startAll();
  await fleet.run(JOIN_MS);
  return fleet;
}

/** Collects the ids of the processes whose crash a member hears of. */
function listen({ membership }: SimulatedMember): Set<string> {
  const heard = new Set<string>();
  membership.onNotice((notice) => {
    if (notice.kind !== "refused-version") {
      heard.add(
        notice.kind === "crash" ? notice.processId : notice.fingerprint,
      );
    }
  });
  return heard;
}

/** Announces a crash that has just happened beside a member. */
function announceCrash(fleet: SimulatedFleet, member: SimulatedMember): void {
  member.membership.announceNotice(createCrash({
    vmAddress: member.record.address,
    atMs: fleet.clock.nowMs(),
    fingerprints: createFingerprints(64),
  }));
}

test("a notice is read from the records that carry it, whatever its size", () => {
  const self = createMemberRecord("127.0.0.1:7102/abc");
  for (const count of [1, 10, 11, 64]) {
    const crash = createCrash({ fingerprints: createFingerprints(count) });
    const notices = createNoticeRecords(self, crash).map(readNotice);
    const fingerprints = notices.flatMap((notice) =>
      notice?.kind === "crash" ? notice.fingerprints : []
    );
    assert.equal(fingerprints, crash.fingerprints);
    notices.forEach((notice) => assert.equal(notice, { ...crash, ...notice }));
  }
  const cleanRun: RequestNotice = {
    kind: "clean-run",
    ...{ fingerprint: "aaaaaaaaaaaa", atMs: 5_000 },
  };
  const [record] = createNoticeRecords(self, cleanRun);
  assert.equal(record && readNotice(record), cleanRun);
  assert.is(record?.version, 5_000);
});

test("other records carry no notice", () => {
  const self = createMemberRecord("127.0.0.1:7102/abc");
  assert.is(isNotice(self), false);
  assert.is(readNotice(self), undefined);
  const forged = createMemberRecord("127.0.0.1:7102!crash/not/an id/0");
  assert.is(readNotice(forged), undefined);
});

test("the copy of another failure domain's notice tells the same and is not copied again", () => {
  const self = createMemberRecord("one");
  const other = createMemberRecord("two", { failureDomain: "namur-a" });
  const [record = self] = createNoticeRecords(self, createCrash());
  const copy = copyNotice(record, other) ?? record;
  assert.is(copyNotice(record, self), undefined);
  assert.is(copyNotice(copy, self), undefined);
  assert.is(copy.failureDomain, "namur-a");
  assert.is(isCopy(copy), true);
  assert.is(isCopy(record), false);
  assert.equal(readNotice(copy), readNotice(record));
});

// Each failure domain has watchers that see the store; copies of every watcher's
// notice would displace those of crashes.
test("the notice of a refused version is read as it was sent, and is not copied to other failure domains", () => {
  const self = createMemberRecord("one");
  const other = createMemberRecord("two", { failureDomain: "namur-a" });
  const notice = {
    kind: "refused-version",
    ...{ version: 22, atMs: 1_800_000_000_000 },
  } as const;
  const [record = self] = createNoticeRecords(self, notice);
  assert.equal(readNotice(record), notice);
  assert.is(copyNotice(record, other), undefined);
});

test("a notice expires in time, and one from far ahead is not kept", () => {
  const self = createMemberRecord("one");
  const atMs = 1_800_000_000_000;
  const [record = self] = createNoticeRecords(self, createCrash({ atMs }));
  assert.is(isExpiredNotice(record, atMs), false);
  assert.is(isExpiredNotice(record, atMs + NOTICE_RETENTION_MS), true);
  assert.is(isExpiredNotice(record, atMs - 3_600_000), true);
});

for (let seed = 1; seed <= 4; seed += 1) {
  // Guards against daemons that go on sending a request because they have not heard of its crashes.
  test(`a notice reaches all members beside loss (seed ${seed})`, async () => {
    const fleet = await startFleet(seed);
    fleet.network.faults.lossRatio = LOSS_RATIO;
    const heard = fleet.members.map(listen);
    announceCrash(fleet, fleet.members[seed] as SimulatedMember);
    await fleet.run(CONTACT_MS);
    const others = heard.filter((_, index) => index !== seed);
    assert.ok(others.every((ids) => ids.size === 1));
  });

  // Guards against a daemon that was started again and has forgotten the crashes.
  test(`a member that starts again hears of earlier notices (seed ${seed})`, async () => {
    const fleet = await startFleet(seed);
    fleet.network.faults.lossRatio = LOSS_RATIO;
    const victim = fleet.members[seed] as SimulatedMember;
    announceCrash(fleet, fleet.members[seed + 1] as SimulatedMember);
    await fleet.run(CONTACT_MS);
    fleet.crash(victim);
    await fleet.run(1_000);
    const heard = listen(await fleet.restart(victim));
    await fleet.run(CONTACT_MS);
    assert.is(heard.size, 1);
  });

  // Guards against a failure domain that was cut off and knows nothing of the crashes meanwhile.
  test(`members that were cut off hear of notices from before (seed ${seed})`, async () => {
    const fleet = await startFleet(seed);
    const isCutOff = new Set(
      fleet.listDomain(CUT_OFF_DOMAIN).map(({ address }) => address),
    );
    const heard = fleet.listDomain(CUT_OFF_DOMAIN).map(listen);
    fleet.network.faults.isPartitioned = (source, target) =>
      isCutOff.has(source) !== isCutOff.has(target);
    await fleet.run(1_000);
    announceCrash(fleet, fleet.listDomain(FIRST_DOMAIN)[0] as SimulatedMember);
    await fleet.run(3_000);
    fleet.network.faults.isPartitioned = () => false;
    await fleet.run(CONTACT_MS);
    assert.ok(heard.every((ids) => ids.size === 1));
  });
}

test("a notice reaches 160 members in time", async () => {
  const fleet = await startFleet(7, 40);
  const heard = fleet.members.map(listen);
  announceCrash(fleet, fleet.members[0] as SimulatedMember);
  await fleet.run(CONTACT_MS);
  assert.is(heard.slice(1).filter((ids) => ids.size === 0).length, 0);
});

test("all members forget a notice in time, and none brings it back", async () => {
  const fleet = await startFleet(8);
  announceCrash(fleet, fleet.members[0] as SimulatedMember);
  await fleet.run(CONTACT_MS);
  fleet.clock.advance(NOTICE_RETENTION_MS);
  await fleet.run(CONTACT_MS);
  const heard = fleet.members.map(listen);
  await fleet.run(CONTACT_MS * 3);
  assert.ok(heard.every((ids) => ids.size === 0));
});

test.run();
