import * as assert from "uvu/assert";
import { suite } from "uvu";
import type { Configuration } from "../generated/types.ts";
import { createTestConfiguration } from "../testing/create_test_configuration.ts";
import { validateConfigurationDocument } from "./validate_configuration_document.ts";

const test = suite("validation of configurations");

function listFindings(changes: Partial<Configuration>): string {
  const checked = validateConfigurationDocument(
    createTestConfiguration(changes),
  );
  return checked.isOk() ? "" : checked.error.message;
}

test("a sound configuration has no findings", () => {
  assert.is(listFindings({}), "");
});

test("every finding of the shape is named at once", () => {
  const checked = validateConfigurationDocument({ name: "", extra: 1 });
  const { message } = checked._unsafeUnwrapErr();
  assert.match(message, /name/);
  assert.match(message, /extra/);
  assert.match(message, /services/);
  assert.match(message, /retryRatio/);
});

test("a circle of calls is named with its services", () => {
  const services = [
    { name: "round-planning", calls: ["delivery-ledger"] },
    { name: "delivery-ledger", calls: ["stock"] },
    { name: "stock", calls: ["price-sheets"] },
    { name: "price-sheets", calls: ["delivery-ledger"] },
  ];
  assert.match(
    listFindings({ services }),
    /delivery-ledger -> stock -> price-sheets -> delivery-ledger/,
  );
});

test("a repeatable request that reaches a non-repeatable one is named", () => {
  const { requests } = createTestConfiguration();
  const changed = requests.map((request) =>
    request.name === "fetch-round"
      ? { ...request, method: "POST" as const }
      : request
  );
  assert.match(
    listFindings({ requests: changed }),
    /fetch-round is repeatable but reaches delivery-ledger, which runs the non-repeatable request record-delivery/,
  );
});

test("reserved shares above the whole are named", () => {
  const { classes } = createTestConfiguration();
  const greedy = classes.map((each) => ({ ...each, reservedRatio: 0.4 }));
  assert.match(listFindings({ classes: greedy }), /reserve 1\.20/);
});

test("unknown, repeated and reserved names and twin routes are all named at once", () => {
  const { requests, services } = createTestConfiguration();
  const findings = listFindings({
    services: [
      ...services,
      { name: "stock", calls: [] },
      { name: "constructor", calls: ["nowhere"] },
    ],
    requests: [
      ...requests,
      { ...requests[0]!, name: "twin", className: "none" },
    ],
  });
  assert.match(findings, /service stock is listed twice/);
  assert.match(findings, /constructor has a reserved name/);
  assert.match(findings, /unknown service nowhere/);
  assert.match(findings, /unknown class none/);
  assert.match(findings, /fetch-round and twin are both GET \/rounds/);
});

test.run();
