import { test } from "uvu";
import * as assert from "uvu/assert";
import { createSimulatedFleetPlan } from "../testing/create_simulated_fleet_plan.ts";
import { SimulatedFleet } from "../testing/simulated_fleet.ts";
import type { SimulatedMember } from "../testing/simulated_fleet.ts";
import type { MemberLoss } from "./loss_reporter.ts";

const SETTLE_MS = 15_000;

/** Time until a killed process is started again, in milliseconds; shorter than a suspicion lasts. */
const DOWN_MS = 1_000;

async function startFleet(membersPerDomain = 8) {
  const losses: MemberLoss[] = [];
  const fleet = new SimulatedFleet({
    ...createSimulatedFleetPlan({
      ...{ seed: 7, domains: 2, membersPerDomain },
      ...{ services: 8, entryServices: 1 },
    }),
    options: () => ({ reportLoss: (loss) => losses.push(loss) }),
  });
  await fleet.startAll();
  await fleet.run(SETTLE_MS);
  const [member] = fleet.members;
  assert.ok(member);
  return { fleet, losses, member: member as SimulatedMember };
}

for (const membersPerDomain of [1, 2, 8]) {
  // Guards against a killed process of which nothing tells: it writes no last line.
  test(`a process learns that the one before it at its address was killed (${membersPerDomain} in a failure domain)`, async () => {
    const { fleet, losses, member } = await startFleet(membersPerDomain);
    fleet.crash(member);
    await fleet.run(DOWN_MS);
    await fleet.restart(member);
    await fleet.run(DOWN_MS);
    const predecessors = losses.filter(({ isPredecessor }) => isPredecessor);
    assert.equal(
      predecessors.map((loss) => loss.member.incarnation),
      [member.record.incarnation],
    );
  });
}

// Guards against a loss that only the process after it could tell of, which may never come.
test("the others of its failure domain report a killed process once each", async () => {
  const { fleet, losses, member } = await startFleet();
  fleet.crash(member);
  await fleet.run(SETTLE_MS);
  const inDomain = fleet.listDomain(member.record.failureDomain).length - 1;
  assert.ok(losses.length >= inDomain, `${losses.length} reports`);
  assert.ok(losses.length < fleet.members.length);
  for (const loss of losses) {
    assert.is(loss.member.incarnation, member.record.incarnation);
    assert.not(loss.isPredecessor);
  }
  assert.ok(losses.some(({ silentMs = 0 }) => silentMs >= DOWN_MS));
});

test("a process that says that it leaves is not reported, also if it is replaced at once", async () => {
  const { fleet, losses, member } = await startFleet();
  member.membership.updateSelf({ state: "leaving" });
  await fleet.run(DOWN_MS);
  await member.membership.stop();
  await fleet.restart(member);
  await fleet.run(SETTLE_MS);
  assert.equal(losses, []);
});

test.run();
