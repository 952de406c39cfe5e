import { test } from "uvu";
import * as assert from "uvu/assert";
import type { GossipMessage } from "../generated/types.ts";
import { createSimulatedFleetPlan } from "../testing/create_simulated_fleet_plan.ts";
import { SimulatedFleet } from "../testing/simulated_fleet.ts";
import type { SimulatedMember } from "../testing/simulated_fleet.ts";
import { GossipCodec } from "./gossip_codec.ts";

const SETTLE_MS = 15_000;

const SOURCE = "10.9.9.9:7102";

const MESSAGES = 5_000;

/** Largest number of entries that one message kind may leave behind. */
const MAX_ENTRIES = 256;

/** Datagrams that a member sends anyway while the messages arrive. */
const MAX_OTHER_DATAGRAMS = 50;

/** Sends messages of daemons with the fleet's token to one member, and returns the number of datagrams that it sends meanwhile. */
async function countDatagrams(
  createMessage: (index: number, target: SimulatedMember) => GossipMessage,
): Promise<number> {
  const fleet = new SimulatedFleet(
    createSimulatedFleetPlan({
      ...{ seed: 7, domains: 1, membersPerDomain: 3 },
      ...{ services: 2, entryServices: 1 },
    }),
  );
  await fleet.startAll();
  await fleet.run(SETTLE_MS);
  const [target] = fleet.members;
  assert.ok(target);
  const codec = new GossipCodec("light-fleet-token");
  const before = target?.membership.traffic.sentDatagrams ?? 0;
  for (let index = 0; index < MESSAGES; index += 1) {
    const message = createMessage(index, target as SimulatedMember);
    fleet.network.send(codec.encode(message), SOURCE, message.recipient);
  }
  await fleet.run(200);
  return (target?.membership.traffic.sentDatagrams ?? 0) - before;
}

function createMessage(
  target: SimulatedMember,
  changes: Partial<GossipMessage>,
): GossipMessage {
  return {
    ...{ kind: "ping", sender: "stranger", failureDomain: "elsewhere" },
    ...{ sentAtMs: SETTLE_MS, recipient: target.address, sequence: 1 },
    ...{ configurationVersion: 0, digest: 0, records: [] },
    ...changes,
  };
}

// Guards against state that grows with each request to probe another member.
test("indirect probes in progress are bounded", async () => {
  const sent = await countDatagrams((index, target) =>
    createMessage(target, {
      kind: "ping-request",
      sequence: index,
      target: "10.9.9.8:7102",
    })
  );
  assert.ok(sent >= MAX_ENTRIES, `${sent} datagrams`);
  assert.ok(sent <= MAX_ENTRIES + MAX_OTHER_DATAGRAMS, `${sent} datagrams`);
});

// Guards against state that grows with each name of a failure domain that a message carries.
test("failure domains whose records are compared are bounded", async () => {
  const sent = await countDatagrams((index, target) =>
    createMessage(target, { failureDomain: `domain-${index}`, digest: 7 })
  );
  const others = sent - MESSAGES; // Each ping is answered.
  assert.ok(others >= MAX_ENTRIES, `${others} datagrams beside the answers`);
  assert.ok(
    others <= MAX_ENTRIES + MAX_OTHER_DATAGRAMS,
    `${others} datagrams beside the answers`,
  );
});

test.run();
