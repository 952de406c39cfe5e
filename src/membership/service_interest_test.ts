import { test } from "uvu";
import * as assert from "uvu/assert";
import { ConfigurationHolder } from "../configuration/mod.ts";
import { createTestConfiguration } from "../testing/create_test_configuration.ts";
import { ManualClock } from "../testing/manual_clock.ts";
import { ServiceInterest } from "./service_interest.ts";

// Guards against a part of a split whose requests all go to the instances of one failure domain, since the daemons there know no others.
test("every service of a split is one whose remote instances a daemon needs", () => {
  const configuration = createTestConfiguration();
  const [request, ...requests] = configuration.requests;
  const split = {
    ...request!,
    service: "round-planning",
    weightedServices: [
      { service: "round-planning", weight: 90 },
      { service: "price-sheets", weight: 10 },
      { service: "stock", weight: 0 },
    ],
  };
  const others = requests.filter(({ service }) =>
    service === "delivery-ledger"
  );
  const holder = new ConfigurationHolder();
  holder.replaceIfNewer(
    { ...configuration, requests: [split, ...others] },
    2,
  );
  const interest = new ServiceInterest(holder, new ManualClock());
  assert.ok(interest.limitFor("round-planning", "price-sheets") > 0);
  assert.ok(interest.limitFor("price-sheets", "delivery-ledger") > 0);
  assert.ok(interest.isNeeded("price-sheets", "delivery-ledger"));
  assert.is(interest.limitFor("stock", "round-planning"), 0);
});

test.run();
