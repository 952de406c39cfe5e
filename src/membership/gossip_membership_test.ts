import * as assert from "uvu/assert";
import { test } from "uvu";
import { Encoder } from "cbor-x";
import type { MemberRecord } from "../generated/types.ts";
import { createSimulatedFleetPlan } from "../testing/create_simulated_fleet_plan.ts";
import { SimulatedFleet } from "../testing/simulated_fleet.ts";
import type {
  SimulatedFleetPlan,
  SimulatedMember,
} from "../testing/simulated_fleet.ts";
import { EvictionLimiter } from "./eviction_limiter.ts";
import { GossipCodec } from "./gossip_codec.ts";
import { SeedListManager } from "./seed_list_manager.ts";

const SETTLE_MS = 15_000;

class UnlimitedEvictionLimiter extends EvictionLimiter {
  override tryEvict(): boolean {
    return true;
  }
}

async function startFleet(
  sizes: { domains?: number; membersPerDomain?: number; services?: number } =
    {},
  changes: Partial<SimulatedFleetPlan> = {},
): Promise<SimulatedFleet> {
  const fleet = new SimulatedFleet({
    ...createSimulatedFleetPlan({
      seed: 7,
      domains: 2,
      membersPerDomain: 8,
      services: 8,
      entryServices: 1,
      ...sizes,
    }),
    ...changes,
  });
  await fleet.startAll();
  await fleet.run(SETTLE_MS);
  return fleet;
}

function getMember(fleet: SimulatedFleet, index: number): SimulatedMember {
  const member = fleet.members[index];
  assert.ok(member);
  return member as SimulatedMember;
}

function listOtherMembers(
  fleet: SimulatedFleet,
  member: SimulatedMember,
): SimulatedMember[] {
  return fleet.members.filter((other) => other !== member);
}

/** Lists the states of a member in the views of the other members that know it. */
function listStates(
  others: readonly SimulatedMember[],
  { incarnation }: MemberRecord,
): string[] {
  return others.flatMap(({ membership }) =>
    membership.find(incarnation)?.state ?? []
  );
}

function partitionDomain(fleet: SimulatedFleet, failureDomain: string): void {
  const inside = new Set(
    fleet.listDomain(failureDomain).map(({ address }) => address),
  );
  fleet.network.faults.isPartitioned = (source, target) =>
    inside.has(source) !== inside.has(target);
}

function healNetwork(fleet: SimulatedFleet): void {
  fleet.network.faults.isPartitioned = () => false;
}

test("a member knows its failure domain and the services it calls, and only delegates know every member", async () => {
  const fleet = await startFleet({ domains: 4, services: 16 });
  for (const { membership, record } of fleet.members) {
    const all = membership.listAll();
    const own = all.filter(({ failureDomain }) =>
      failureDomain === record.failureDomain
    );
    assert.is(own.length, 8);
    const service = Number(record.service.split("-")[1]);
    for (const step of [1, 2, 3]) {
      assert.is(
        membership.listInstances(`service-${(service + step) % 16}`).length,
        2,
      );
    }
  }
  const partialViews = fleet.members.filter(({ membership }) =>
    membership.listAll().length < fleet.members.length
  );
  assert.is(partialViews.length, fleet.members.length - 4 * 3);
});

test("a crashed member becomes dead in every view and can be found for ten minutes", async () => {
  const fleet = await startFleet();
  const victim = getMember(fleet, 3);
  fleet.crash(victim);
  await fleet.run(SETTLE_MS);
  const others = listOtherMembers(fleet, victim);
  const states = listStates(others, victim.record);
  assert.ok(states.length >= 7);
  assert.equal([...new Set(states)], ["dead"]);
  await fleet.run(560_000);
  assert.is(
    getMember(fleet, 1).membership.find(victim.record.incarnation)?.state,
    "dead",
  );
  await fleet.run(60_000);
  assert.is(
    getMember(fleet, 1).membership.find(victim.record.incarnation),
    undefined,
  );
});

async function pauseBriefly(
  changes: Partial<SimulatedFleetPlan>,
): Promise<boolean> {
  const fleet = await startFleet({}, changes);
  const paused = getMember(fleet, 3);
  const others = listOtherMembers(fleet, paused);
  let wasDead = false;
  paused.clock.pause();
  for (let step = 0; step < 100; step += 1) {
    if (step === 30) {
      paused.clock.resume();
    }
    await fleet.run(100);
    wasDead ||= listStates(others, paused.record).includes("dead");
  }
  return wasDead;
}

test("a briefly paused member refutes the suspicion", async () => {
  assert.is(await pauseBriefly({}), false);
});

test("seeded defect: without a suspicion timeout a paused member is evicted", async () => {
  const options = () => ({ suspicionTimeoutMs: 0 });
  assert.is(await pauseBriefly({ options }), true);
});

async function pauseUntilEvicted(
  prepare: (fleet: SimulatedFleet) => void,
): Promise<string[]> {
  const fleet = await startFleet();
  prepare(fleet);
  const paused = getMember(fleet, 3);
  const others = listOtherMembers(fleet, paused);
  paused.clock.pause();
  await fleet.run(20_000);
  assert.ok(listStates(others, paused.record).includes("dead"));
  paused.clock.resume();
  await fleet.run(30_000);
  return [...new Set(listStates(others, paused.record))];
}

test("a member returns after a long pause", async () => {
  assert.equal(await pauseUntilEvicted(() => undefined), ["alive"]);
});

test("seeded defect: if versions are ignored a paused member never returns", async () => {
  const states = await pauseUntilEvicted((fleet) => {
    const codec = new GossipCodec("light-fleet-token");
    fleet.network.faults.transform = (bytes) => {
      const message = codec.decode(bytes);
      return message
        ? codec.encode({
          ...message,
          records: message.records.map((record) => ({ ...record, version: 1 })),
        })
        : bytes;
    };
  });
  assert.ok(states.includes("dead"));
});

test("a restart at the same address immediately replaces the previous incarnation", async () => {
  const fleet = await startFleet();
  const victim = getMember(fleet, 3);
  fleet.crash(victim);
  const next = await fleet.restart(victim);
  await fleet.run(3_000);
  const others = listOtherMembers(fleet, next);
  assert.equal([...new Set(listStates(others, victim.record))], ["dead"]);
  assert.equal([...new Set(listStates(others, next.record))], ["alive"]);
});

async function partitionWithinDomain(
  changes: Partial<SimulatedFleetPlan>,
): Promise<{ maxDead: number; finalStates: string[] }> {
  const fleet = await startFleet({ domains: 1, membersPerDomain: 20 }, changes);
  const half = new Set(
    fleet.members.slice(0, 10).map(({ address }) => address),
  );
  fleet.network.faults.isPartitioned = (source, target) =>
    half.has(source) !== half.has(target);
  await fleet.run(40_000);
  const maxDead = Math.max(
    ...fleet.members.map(({ membership }) =>
      membership.listAll().filter(({ state }) => state === "dead").length
    ),
  );
  healNetwork(fleet);
  await fleet.run(60_000);
  const finalStates = fleet.members.flatMap(({ record }) =>
    listStates(fleet.members, record)
  );
  return { maxDead, finalStates: [...new Set(finalStates)] };
}

test("a partitioned failure domain evicts only the allowed share within a minute, and recovers", async () => {
  const { maxDead, finalStates } = await partitionWithinDomain({});
  assert.is(maxDead, 4);
  assert.equal(finalStates, ["alive"]);
});

test("seeded defect: without the eviction limit a partition evicts the entire other half", async () => {
  const { maxDead } = await partitionWithinDomain({
    options: () => ({ evictionLimiter: new UnlimitedEvictionLimiter() }),
  });
  assert.is(maxDead, 10);
});

test("an unreachable failure domain is reported by all delegates, keeps its records and recovers quickly", async () => {
  const fleet = await startFleet();
  const [outside] = fleet.listDomain("domain-0");
  assert.ok(outside);
  const { membership } = outside as SimulatedMember;
  const listRemote = () =>
    membership.listInstances("service-1").filter(({ failureDomain }) =>
      failureDomain === "domain-1"
    );
  // service-1 runs in domain-1 only, service-0 in domain-0 only.
  assert.is(listRemote().length, 2);
  partitionDomain(fleet, "domain-1");
  await fleet.run(20_000);
  const unreachable = fleet.listDomain("domain-0").filter((member) =>
    member.membership.self.unreachableDomains?.includes("domain-1")
  );
  assert.is(unreachable.length, 3);
  assert.is(listRemote()[0]?.state, "alive");
  await fleet.run(1_200_000);
  healNetwork(fleet);
  await fleet.run(10_000);
  const stillUnreachable = fleet.members.filter((member) =>
    (member.membership.self.unreachableDomains ?? []).length > 0
  );
  assert.is(stillUnreachable.length, 0);
  assert.is(listRemote().length, 2);
});

test("lost datagrams do not make a failure domain unreachable", async () => {
  const fleet = await startFleet({ domains: 16, membersPerDomain: 3 });
  fleet.network.faults.lossRatio = 0.02;
  let reports = 0;
  for (let second = 0; second < 120; second += 1) {
    await fleet.run(1_000);
    reports += fleet.members.filter(({ membership }) =>
      (membership.self.unreachableDomains ?? []).length > 0
    ).length;
  }
  assert.is(reports, 0);
});

test("after a full restart, a failure domain whose store is down rejoins through seeds and the other domains", async () => {
  const fleet = await startFleet({ domains: 3 }, {
    isStoreDown: (failureDomain) => failureDomain === "domain-2",
    options: () => ({ seeds: ["10.0.0.0:7102"] }),
  });
  fleet.members.forEach((member) => fleet.crash(member));
  await fleet.run(30_000);
  for (const member of [...fleet.members]) {
    await fleet.restart(member);
  }
  await fleet.run(30_000);
  for (const { membership, record } of fleet.members) {
    const own = membership.listAll().filter(({ failureDomain, state }) =>
      failureDomain === record.failureDomain && state === "alive"
    );
    assert.is(own.length, 8);
  }
});

test("gossip between failure domains continues after all delegates crash at once", async () => {
  const fleet = await startFleet();
  const delegates = fleet.members.filter(({ membership }) =>
    membership.isDelegate
  );
  assert.is(delegates.length, 6);
  delegates.forEach((member) => fleet.crash(member));
  await fleet.run(120_000);
  const alive = fleet.members.filter((member) => !delegates.includes(member));
  const next = alive.filter(({ membership }) => membership.isDelegate);
  assert.is(next.length, 6);
  const dead = delegates.flatMap(({ record }) => listStates(next, record));
  assert.not(dead.includes("alive"));
});

test("a leaving instance is excluded by every member within a second", async () => {
  const fleet = await startFleet({ domains: 4 });
  const leaving = getMember(fleet, 5);
  leaving.membership.updateSelf({ state: "leaving" });
  await fleet.run(1_000);
  for (const { membership } of listOtherMembers(fleet, leaving)) {
    const instances = membership.listInstances(leaving.record.service);
    assert.not(
      instances.some(({ incarnation }) =>
        incarnation === leaving.record.incarnation
      ),
    );
  }
});

test("an instance that refused a call because it is leaving is excluded immediately, until its next record arrives", async () => {
  const fleet = await startFleet();
  const [requester, target] = [getMember(fleet, 0), getMember(fleet, 2)];
  const isListed = () =>
    requester.membership.listInstances(target.record.service)
      .some(({ incarnation }) => incarnation === target.record.incarnation);
  assert.ok(isListed());
  requester.membership.markLeaving(target.record.incarnation);
  assert.not(isListed());
  target.membership.updateSelf({ state: "alive" });
  await fleet.run(2_000);
  assert.ok(isListed());
});

test("a former delegate removes the records it no longer needs", async () => {
  const fleet = await startFleet({ domains: 4, services: 16 });
  const delegate = fleet.members.find(({ membership }) =>
    membership.isDelegate
  );
  assert.ok(delegate);
  assert.is(delegate?.membership.listAll().length, fleet.members.length);
  delegate?.membership.updateSelf({ state: "leaving" });
  await fleet.run(130_000);
  assert.not(delegate?.membership.isDelegate);
  const { service = "", failureDomain } = delegate?.record ?? {};
  const number = Number(service.split("-")[1]);
  const wanted = [0, number + 1, number + 2, number + 3].map((index) =>
    `service-${index % 16}`
  );
  const others = delegate?.membership.listAll().filter((record) =>
    record.failureDomain !== failureDomain && !wanted.includes(record.service)
  );
  assert.equal(others, []);
});

test("a member outside the local view is found by a lookup", async () => {
  const fleet = await startFleet({ domains: 4, services: 16 });
  const requester = fleet.members.find(({ membership }) =>
    !membership.isDelegate
  );
  const hidden = fleet.members.find(({ record }) =>
    !requester?.membership.find(record.incarnation)
  );
  assert.ok(requester && hidden);
  const found = requester?.membership.lookUp(hidden?.record.incarnation ?? "");
  await fleet.run(500);
  assert.is((await found)?.address, hidden?.record.address);
});

test("store reads and writes are limited during startup and nearly stop once the fleet is running", async () => {
  const fleet = await startFleet({ domains: 2, membersPerDomain: 24 });
  assert.ok(fleet.store.reads <= 4 * fleet.members.length);
  assert.ok(fleet.store.writes <= fleet.members.length);
  const { reads, writes } = fleet.store;
  await fleet.run(120_000);
  assert.ok(fleet.store.reads - reads <= 4);
  assert.ok(fleet.store.writes - writes <= 2);
});

test("listeners receive the configuration versions of peers", async () => {
  const fleet = await startFleet();
  const versions = new Set<number>();
  getMember(fleet, 0).membership.onPeerConfigurationVersion(({ version }) =>
    versions.add(version)
  );
  await fleet.run(3_000);
  assert.equal([...versions], [1]);
});

test("forged and corrupt datagrams are dropped with a single log entry", async () => {
  const events: string[] = [];
  const ignore = () => undefined;
  const fleet = await startFleet({}, {
    options: () => ({
      log: {
        debug: ignore,
        info: ignore,
        warn: (_context, event) => events.push(event),
        error: ignore,
      },
    }),
  });
  const target = getMember(fleet, 0);
  const before = target.membership.listAll().length;
  const forged = new GossipCodec("another-token").encode({
    kind: "push",
    sender: "stranger",
    failureDomain: "domain-0",
    sentAtMs: 1,
    recipient: target.address,
    sequence: 0,
    configurationVersion: 9,
    digest: 0,
    records: [{ ...target.record, incarnation: "stranger" }],
  });
  const garbage = new Encoder().encode({ kind: "push" });
  const flood = [forged, garbage, new Uint8Array(0), new Uint8Array(9_000)];
  for (let round = 0; round < 50; round += 1) {
    flood.forEach((bytes) =>
      fleet.network.send(bytes, "10.9.9.9:7102", target.address)
    );
  }
  await fleet.run(1_000);
  assert.is(target.membership.traffic.droppedDatagrams, 200);
  assert.equal(events, ["gossip-dropped"]);
  assert.is(target.membership.listAll().length, before);
});

test("a datagram that is replayed or sent to another member is dropped", async () => {
  const fleet = await startFleet();
  const recorded: Uint8Array[] = [];
  const [first, second] = [getMember(fleet, 0), getMember(fleet, 2)];
  fleet.network.faults.transform = (bytes, source) => {
    if (source === second.address && recorded.length < 1) {
      recorded.push(bytes);
    }
    return bytes;
  };
  await fleet.run(30_000);
  const bytes = recorded[0] ?? new Uint8Array(0);
  const dropped = fleet.members.reduce(
    (sum, { membership }) => sum + membership.traffic.droppedDatagrams,
    0,
  );
  assert.is(dropped, 0);
  fleet.members.forEach(({ address }) =>
    fleet.network.send(bytes, second.address, address)
  );
  await fleet.run(1_000);
  assert.is(first.membership.traffic.droppedDatagrams, 1);
});

test("a seed list that the store lost with its return from a copy is written again within seconds", async () => {
  const fleet = await startFleet();
  const key = SeedListManager.createStoreKey(
    getMember(fleet, 0).record.failureDomain,
  );
  assert.ok((await fleet.store.read(key))._unsafeUnwrap());
  const writesBefore = fleet.store.writes;
  fleet.store.returnFromCopy();
  await fleet.run(4_000);
  const restored = (await fleet.store.read(key))._unsafeUnwrap();
  assert.ok(Array.isArray(restored?.value) && restored.value.length > 0);
  const members = fleet.members.length;
  assert.ok(fleet.store.writes - writesBefore <= members);
  await fleet.run(60_000);
  assert.ok(fleet.store.writes - writesBefore <= members);
});

test.run();
