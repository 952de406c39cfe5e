import * as assert from "uvu/assert";
import { suite } from "uvu";
import { ConfigurationHolder } from "../configuration/mod.ts";
import { createSimulatedFleetPlan } from "../testing/create_simulated_fleet_plan.ts";
import { SimulatedFleet } from "../testing/simulated_fleet.ts";

const SETTLE_MS = 15_000;
const ANNOUNCED_WITHIN_MS = 500;
const REACHED_WITHIN_MS = 6_000;
const MEMBERS_PER_DOMAIN = 12;

const test = suite("configuration versions in gossip messages");

/**
 * Starts a fleet whose members activate each newer version they receive,
 * without fetching it, and announce it.
 */
async function startFleet() {
  const plan = createSimulatedFleetPlan({
    seed: 8,
    domains: 3,
    membersPerDomain: MEMBERS_PER_DOMAIN,
    services: 4,
    entryServices: 1,
  });
  const document = plan.configuration!;
  const holders: ConfigurationHolder[] = [];
  const fleet = new SimulatedFleet({
    ...plan,
    options: () => {
      const configuration = new ConfigurationHolder();
      configuration.replaceIfNewer(document, 1);
      holders.push(configuration);
      return { configuration };
    },
  });
  await fleet.startAll();
  fleet.members.forEach(({ membership }, index) =>
    membership.onPeerConfigurationVersion(({ version }) => {
      if (holders[index]!.replaceIfNewer(document, version)) {
        membership.announceConfigurationVersion();
      }
    })
  );
  await fleet.run(SETTLE_MS);
  const activate = (index: number) => {
    holders[index]!.replaceIfNewer(document, 2);
    fleet.members[index]!.membership.announceConfigurationVersion();
  };
  const listActive = () =>
    fleet.members.filter((_, index) => holders[index]!.version === 2);
  return { activate, fleet, listActive };
}

test("an announcement reaches most of the failure domain before the next probe interval", async () => {
  const { activate, fleet, listActive } = await startFleet();
  activate(0);
  await fleet.run(ANNOUNCED_WITHIN_MS);
  const { failureDomain } = fleet.members[0]!.record;
  const reached = listActive().filter(({ record }) =>
    record.failureDomain === failureDomain
  );
  assert.ok(reached.length > MEMBERS_PER_DOMAIN / 2, String(reached.length));
});

test("a version known only to one member reaches every failure domain", async () => {
  const { activate, fleet, listActive } = await startFleet();
  activate(0);
  await fleet.run(REACHED_WITHIN_MS);
  assert.is(listActive().length, fleet.members.length);
});

test.run();
