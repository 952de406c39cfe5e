import * as assert from "uvu/assert";
import fc from "fast-check";
import { suite } from "uvu";
import type { Configuration } from "../generated/types.ts";
import { createTestConfiguration } from "../testing/create_test_configuration.ts";
import { canonicalizeNamedLists } from "./canonicalize_named_lists.ts";
import { digestConfiguration } from "./digest_configuration.ts";
import { applyDocumentPatch, createDocumentPatch } from "./document_patch.ts";

const test = suite("document patches");

/** Documents are parsed from JSON, so their objects have the default prototype. */
const PLAIN_OBJECTS = { noNullPrototype: true };

const nameArbitrary = fc.constantFrom("a", "b", "c", "d", "e", "f");

const configurationArbitrary: fc.Arbitrary<Configuration> = fc.record({
  services: fc.uniqueArray(
    fc.record(
      { name: nameArbitrary, calls: fc.array(nameArbitrary) },
      PLAIN_OBJECTS,
    ),
    { selector: ({ name }) => name },
  ),
  deadlines: fc.dictionary(
    nameArbitrary,
    fc.integer({ min: 1, max: 9 }),
    PLAIN_OBJECTS,
  ),
  accounts: fc.option(
    fc.uniqueArray(
      fc.record({
        name: nameArbitrary,
        keyDigests: fc.array(fc.constantFrom("x", "y")),
      }, PLAIN_OBJECTS),
      { selector: ({ name }) => name },
    ),
    { nil: undefined },
  ),
  retryRatio: fc.constantFrom(0, 0.1),
}).map(({ accounts, services, deadlines, retryRatio }) => {
  const [request] = createTestConfiguration().requests;
  const requests = Object.entries(deadlines).map(([name, deadlineMs]) => ({
    ...request!,
    name,
    deadlineMs,
  }));
  return createTestConfiguration({
    ...accounts && { accounts },
    ...{ services, requests, retryRatio },
  });
});

test("a patch transforms any document into any other without mutating the original", () => {
  fc.assert(
    fc.property(
      configurationArbitrary,
      configurationArbitrary,
      (before, after) => {
        const untouched = structuredClone(before);
        const patch = createDocumentPatch(before, after);
        const applied = applyDocumentPatch(before, patch);
        assert.equal(applied, canonicalizeNamedLists(after));
        assert.equal(before, untouched);
        assert.is(
          digestConfiguration(applied as Configuration),
          digestConfiguration(after),
        );
      },
    ),
    { seed: 603, numRuns: 300 },
  );
});

test("the patch of one request is small regardless of the number of requests", () => {
  const [request] = createTestConfiguration().requests;
  const requests = Array.from({ length: 2_000 }, (_, index) => ({
    ...request!,
    name: `request-${index}`,
    pathPrefix: `/${index}`,
  }));
  const before = createTestConfiguration({ requests });
  const after = {
    ...before,
    requests: requests.map((each, index) =>
      index === 7 ? { ...each, deadlineMs: 5 } : each
    ),
  };
  assert.equal(createDocumentPatch(before, after), {
    requests: { "request-7": { deadlineMs: 5 } },
  });
});

// Guards against a change of one key that is sent to every daemon as 100,000 accounts.
test("the patch of one account's keys is small regardless of the number of accounts", () => {
  const accounts = Array.from({ length: 2_000 }, (_, index) => ({
    name: `account-${index}`,
    keyDigests: [`digest-${index}`],
  }));
  const before = createTestConfiguration({ accounts });
  const after = {
    ...before,
    accounts: accounts.map((each, index) =>
      index === 7 ? { ...each, keyDigests: ["new"] } : each
    ),
  };
  assert.equal(createDocumentPatch(before, after), {
    accounts: { "account-7": { keyDigests: ["new"] } },
  });
});

// Guards against daemons of different builds that take equal configurations for different ones.
test("a configuration without accounts has the digest that earlier builds compute", () => {
  assert.is(
    digestConfiguration(createTestConfiguration()),
    "f244052ccbf5f264b9be5482dbf768506f80352aa3420033717b519f61b57ec5",
  );
});

test("equal content has the same digest regardless of order", () => {
  const configuration = createTestConfiguration();
  const reordered = {
    ...configuration,
    requests: [...configuration.requests].reverse(),
    services: [...configuration.services].reverse(),
  };
  assert.is(digestConfiguration(reordered), digestConfiguration(configuration));
  assert.is.not(
    digestConfiguration({ ...configuration, retryRatio: 0.2 }),
    digestConfiguration(configuration),
  );
});

test.run();
