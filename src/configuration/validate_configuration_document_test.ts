import * as assert from "uvu/assert";
import { suite } from "uvu";
import type { Configuration } from "../generated/types.ts";
import { createTestConfiguration } from "../testing/create_test_configuration.ts";
import { validateConfigurationDocument } from "./validate_configuration_document.ts";

const test = suite("configuration validation");

function listFindings(changes: Partial<Configuration>): string {
  const checked = validateConfigurationDocument(
    createTestConfiguration(changes),
  );
  return checked.isOk() ? "" : checked.error.message;
}

test("a valid configuration has no findings", () => {
  assert.is(listFindings({}), "");
});

test("all schema errors are reported together", () => {
  const checked = validateConfigurationDocument({ name: "", extra: 1 });
  const { message } = checked._unsafeUnwrapErr();
  assert.match(message, /name/);
  assert.match(message, /extra/);
  assert.match(message, /services/);
  assert.match(message, /retryRatio/);
});

const DIGEST = "a".repeat(43);

// Guards against a key that gives access to whichever account happens to be listed last.
test("duplicate accounts, shared keys and unknown classes of accounts are reported", () => {
  const other = "b".repeat(43);
  assert.is(
    listFindings({ accounts: [{ name: "a", keyDigests: [DIGEST, other] }] }),
    "",
  );
  assert.match(
    listFindings({
      accounts: [
        { name: "a", keyDigests: [DIGEST] },
        { name: "a", keyDigests: [other] },
      ],
    }),
    "account a is listed twice",
  );
  const shared = listFindings({
    accounts: [
      { name: "a", keyDigests: [DIGEST] },
      { name: "b", keyDigests: [other, DIGEST] },
    ],
  });
  assert.match(shared, "accounts a and b have the same key");
  assert.not.match(shared, DIGEST);
  assert.match(
    listFindings({
      accounts: [{ name: "a", keyDigests: [], className: "none" }],
    }),
    "account a refers to unknown class none",
  );
});

test("a call cycle is reported with its services", () => {
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

test("a repeatable request that reaches a non-repeatable one is reported", () => {
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

test("reserved ratios with a sum above 1 are reported", () => {
  const { classes } = createTestConfiguration();
  const excessive = classes.map((each) => ({ ...each, reservedRatio: 0.4 }));
  assert.match(listFindings({ classes: excessive }), /reserve 1\.20/);
});

test("unknown, duplicate and reserved names and duplicate routes are all reported together", () => {
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
  assert.match(
    findings,
    /fetch-round and twin have the same route: GET \/rounds/,
  );
});

test.run();
