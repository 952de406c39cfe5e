import * as assert from "uvu/assert";
import { suite } from "uvu";
import { ConfigurationHolder } from "../configuration/mod.ts";
import { createLightPlan } from "../testing/create_light_plan.ts";
import { LightFleet } from "../testing/light_fleet.ts";

const SETTLE_MS = 15_000;
const ANNOUNCED_WITHIN_MS = 500;
const TOLD_WITHIN_MS = 6_000;
const MEMBERS_PER_DOMAIN = 12;

const test = suite("configuration versions by gossip");

/** Members put in force what they hear of, as if they had fetched it, and announce it. */
async function startFleet() {
  const plan = createLightPlan({
    seed: 8,
    domains: 3,
    membersPerDomain: MEMBERS_PER_DOMAIN,
    services: 4,
    entryServices: 1,
  });
  const document = plan.configuration!;
  const holders: ConfigurationHolder[] = [];
  const fleet = new LightFleet({
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
        membership.announce();
      }
    })
  );
  await fleet.run(SETTLE_MS);
  const accept = (index: number) => {
    holders[index]!.replaceIfNewer(document, 2);
    fleet.members[index]!.membership.announce();
  };
  const listInForce = () =>
    fleet.members.filter((_, index) => holders[index]!.version === 2);
  return { accept, fleet, listInForce };
}

test("an announcement reaches most of the failure domain before the next probes", async () => {
  const { accept, fleet, listInForce } = await startFleet();
  accept(0);
  await fleet.run(ANNOUNCED_WITHIN_MS);
  const { failureDomain } = fleet.members[0]!.record;
  const told = listInForce().filter(({ record }) =>
    record.failureDomain === failureDomain
  );
  assert.ok(told.length > MEMBERS_PER_DOMAIN / 2, String(told.length));
});

test("a version known to one member alone reaches every failure domain", async () => {
  const { accept, fleet, listInForce } = await startFleet();
  accept(0);
  await fleet.run(TOLD_WITHIN_MS);
  assert.is(listInForce().length, fleet.members.length);
});

test.run();
