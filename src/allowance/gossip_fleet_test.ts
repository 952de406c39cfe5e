/**
 * The number of members and the possible holders, as daemons learn them. Guards
 * against a number that is too small, by which daemons would take more than
 * their share.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { ConfigurationHolder } from "../configuration/mod.ts";
import type { MemberRecord } from "../generated/types.ts";
import { createMemberRecord } from "../testing/create_member_record.ts";
import { createTestConfiguration } from "../testing/create_test_configuration.ts";
import { SharedMembership } from "../testing/fault_injection/shared_membership.ts";
import type { Directory } from "../testing/fault_injection/shared_membership.ts";
import { ManualClock } from "../testing/manual_clock.ts";
import type { FleetDirectory } from "./create_fleet_directory.ts";
import { GossipFleet } from "./gossip_fleet.ts";
import { SilentMembers } from "./silent_members.ts";

const DOMAINS = ["gent-a", "gent-b", "namur-a", "namur-b"];
const PER_DOMAIN = 5;

function createRecords(perDomain = PER_DOMAIN): MemberRecord[] {
  return DOMAINS.flatMap((failureDomain, domain) =>
    Array.from(
      { length: perDomain },
      (_, index) =>
        createMemberRecord(`${failureDomain}-${index}`, {
          ...{ failureDomain, startedAtMs: 1 },
          address: `10.0.${domain}.${index}`,
        }),
    )
  );
}

/** Creates the fleet as one daemon sees it that knows `records`; others answer with `known`. */
function createFleet(
  incarnation: string,
  { records, known }: {
    readonly records: readonly MemberRecord[];
    readonly known: Partial<FleetDirectory> | undefined;
  },
) {
  const directory: Directory = new Map(
    records.map((record) => [record.incarnation, record]),
  );
  const self = directory.get(incarnation) ?? createMemberRecord(incarnation);
  const configuration = new ConfigurationHolder();
  configuration.replaceIfNewer(createTestConfiguration(), 1);
  const clock = new ManualClock();
  const asked: string[] = [];
  const fleet = new GossipFleet({
    ...{ configuration, clock, silent: new SilentMembers() },
    membership: new SharedMembership(directory, self),
    fetchDirectory: (delegate) => {
      asked.push(delegate.incarnation);
      return Promise.resolve(known);
    },
  });
  return { fleet, clock, directory, asked };
}

/** Names of the delegates of a failure domain, found by trying each member. */
function listDelegates(failureDomain: string): string[] {
  const records = createRecords();
  return records
    .filter((record) => record.failureDomain === failureDomain)
    .map(({ incarnation }) => incarnation)
    .filter((incarnation) => {
      const known = undefined;
      const { fleet } = createFleet(incarnation, { records, known });
      return fleet.provide() !== undefined;
    });
}

test("a delegate counts all members, and the delegates of all domains can be holders", () => {
  const [delegate = ""] = listDelegates("gent-a");
  const records = createRecords();
  const { fleet } = createFleet(delegate, { records, known: undefined });
  fleet.refresh();
  assert.is(fleet.memberCount, DOMAINS.length * PER_DOMAIN);
  assert.is(fleet.listCandidates().length, DOMAINS.length * 3);
  assert.is(fleet.listMembers().length, records.length - 1);
});

test("holders of failure domains that cannot be reached are left out, but their members count", () => {
  const [delegate = ""] = listDelegates("gent-a");
  const records = createRecords().map((record) =>
    record.incarnation === delegate
      ? { ...record, unreachableDomains: ["namur-a"] }
      : record
  );
  const { fleet } = createFleet(delegate, { records, known: undefined });
  fleet.refresh();
  assert.is(fleet.memberCount, DOMAINS.length * PER_DOMAIN);
  assert.is(fleet.listCandidates().length, (DOMAINS.length - 1) * 3);
});

test("in a large fleet each failure domain has its own holder, so that its load is bounded", () => {
  const records = createRecords(200);
  const delegate =
    records.find(({ incarnation }) =>
      createFleet(incarnation, { records, known: undefined }).fleet.provide()
    )?.incarnation ?? "";
  const { fleet } = createFleet(delegate, { records, known: undefined });
  fleet.refresh();
  assert.is(fleet.memberCount, 800);
  assert.is(fleet.listCandidates().length, 3);
  assert.is(fleet.listMembers().length, 199);
});

test("another member uses the directory of a delegate", async () => {
  const delegates = listDelegates("gent-a");
  const records = createRecords().filter(({ failureDomain }) =>
    failureDomain === "gent-a"
  );
  const other = records.find(({ incarnation }) =>
    !delegates.includes(incarnation)
  );
  const candidates = [{ incarnation: "x", address: "10.0.0.1", peerPort: 1 }];
  const known = { memberCount: 20, knownCount: 20, digest: 5, candidates };
  const { fleet, clock, asked } = createFleet(other?.incarnation ?? "", {
    ...{ records, known },
  });
  let changes = 0;
  fleet.onChange(() => changes += 1);
  fleet.refresh();
  assert.is(fleet.memberCount, 0, "not known before the reply");
  await Promise.resolve();
  assert.is(changes, 1);
  assert.is(fleet.memberCount, 20);
  assert.equal(fleet.listCandidates(), candidates);
  assert.ok(asked.every((incarnation) => delegates.includes(incarnation)));
  fleet.refresh();
  assert.is(asked.length, 1);
  clock.advance(1_000);
  fleet.refresh();
  assert.is(asked.length, 2);
});

test("a delegate that was started in a partition uses the number that another delegate knows", async () => {
  const [delegate = ""] = listDelegates("gent-a");
  const records = createRecords().filter(({ failureDomain }) =>
    failureDomain === "gent-a"
  );
  const known = { memberCount: 20, knownCount: 20 };
  const { fleet, clock } = createFleet(delegate, { records, known });
  for (let second = 0; second < 20; second += 1) {
    fleet.refresh();
    await Promise.resolve();
    assert.ok(fleet.memberCount >= 20, `${fleet.memberCount} members`);
    clock.advance(1_000);
  }
});

test("a delegate that has just started counts members of domains that it does not know yet", () => {
  const [delegate = ""] = listDelegates("gent-a");
  const records = createRecords().filter(({ failureDomain }) =>
    failureDomain === "gent-a"
  );
  const { fleet } = createFleet(delegate, { records, known: undefined });
  fleet.refresh();
  assert.is(fleet.memberCount, DOMAINS.length * PER_DOMAIN);
});

test.run();
