import { test } from "uvu";
import * as assert from "uvu/assert";
import { SimulatedFleet } from "../testing/simulated_fleet.ts";
import type { SimulatedMember } from "../testing/simulated_fleet.ts";
import { createMemberRecord } from "../testing/create_member_record.ts";
import { createDepartureRecord, readDeparture } from "./departure_record.ts";
import { DEAD_RETENTION_MS } from "./member_table.ts";

const SERVER_ID = "i-7f3a/1769576915086";
/** Time between the acknowledgement of a departure and the crash of the daemon, in milliseconds. */
const CRASH_AFTER_MS = 50;
/** Time within which a daemon that was started again learns of the departure, in milliseconds. */
const LEARNT_WITHIN_MS = 4_000;
const LOSS_RATIO = 0.1;

async function startFleet(seed: number): Promise<SimulatedFleet> {
  const fleet = new SimulatedFleet({
    seed,
    regions: { north: ["north-a", "north-b"] },
    membersPerDomain: 6,
    chooseService: (index) => `service-${index % 2}`,
  });
  await fleet.startAll();
  await fleet.run(10_000);
  return fleet;
}

/** Restarts a crashed member and lists the departures that it hears of. */
async function listDeparturesAfterRestart(
  fleet: SimulatedFleet,
  crashed: SimulatedMember,
): Promise<string[]> {
  const heard: string[] = [];
  const { membership } = await fleet.restart(crashed);
  membership.onDeparture((serverId) => heard.push(serverId));
  await fleet.run(LEARNT_WITHIN_MS);
  return heard;
}

for (let seed = 1; seed <= 8; seed += 1) {
  // Guards against a daemon that was started again and does not know that its predecessor acknowledged a departure.
  test(`a daemon that crashes and starts again learns that its server had left (seed ${seed})`, async () => {
    const fleet = await startFleet(seed);
    fleet.network.faults.lossRatio = LOSS_RATIO;
    const victim = fleet.members[seed] as SimulatedMember;
    victim.membership.announceDeparture(SERVER_ID);
    await fleet.run(CRASH_AFTER_MS);
    fleet.crash(victim);
    await fleet.run(seed * 1_000);
    assert.equal(await listDeparturesAfterRestart(fleet, victim), [SERVER_ID]);
  });
}

test("daemons of other addresses hear of no departure, and all forget it in time", async () => {
  const fleet = await startFleet(9);
  const [victim, other] = fleet.members as [SimulatedMember, SimulatedMember];
  victim.membership.announceDeparture(SERVER_ID);
  await fleet.run(1_000);
  fleet.crash(other);
  assert.equal(await listDeparturesAfterRestart(fleet, other), []);
  await fleet.run(DEAD_RETENTION_MS + 10_000);
  const departures = fleet.members.flatMap(({ membership }) =>
    membership.listAll().filter((record) => readDeparture(record))
  );
  assert.equal(departures, []);
});

test("a departure takes no address from a daemon and is told from other records", () => {
  const self = createMemberRecord("127.0.0.1:7102/abc");
  const record = createDepartureRecord(self, SERVER_ID);
  assert.is(record?.state, "dead");
  assert.is(record?.startedAtMs, 0);
  assert.is(record && readDeparture(record), SERVER_ID);
  assert.is(readDeparture(self), undefined);
  assert.is(createDepartureRecord(self, "i".repeat(200)), undefined);
});

test.run();
