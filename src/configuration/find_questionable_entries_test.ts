import * as assert from "uvu/assert";
import { suite } from "uvu";
import type {
  Configuration,
  RequestConfiguration,
} from "../generated/types.ts";
import { createTestConfiguration } from "../testing/create_test_configuration.ts";
import {
  findQuestionableEntries,
  QUESTIONABLE,
} from "./find_questionable_entries.ts";

const test = suite("questionable entries");

const KEYS = ["a".repeat(43)];

function list(
  changes: Partial<Configuration>,
  counts?: ReadonlyMap<string, number>,
): string[] {
  return findQuestionableEntries(createTestConfiguration(changes), counts)
    .map(({ kind, entry }) => `${kind} ${entry}`);
}

function changeFirst(
  changes: Partial<RequestConfiguration>,
): RequestConfiguration[] {
  const [first, ...others] = createTestConfiguration().requests;
  return [{ ...first!, ...changes }, ...others];
}

test("a sound configuration has no questionable entries", () => {
  assert.equal(list({}), []);
  assert.equal(list({ accounts: [{ name: "a", keyDigests: KEYS }] }), []);
});

test("entries that can never match are found", () => {
  const kind = QUESTIONABLE.unmatchableRoute;
  const host = "h";
  assert.equal(list({ requests: changeFirst({ host, pathPrefix: "/a" }) }), [
    `${kind} fetch-round`,
  ]);
  // Matches only the paths of the other route, which has the shorter prefix.
  assert.equal(
    list({
      requests: [
        ...changeFirst({ host, pathPrefix: "/a" }),
        { ...changeFirst({ host, pathPrefix: "/" })[0]!, name: "all" },
      ],
    }),
    [`${kind} fetch-round`],
  );
  const weightedServices = [{ service: "stock", weight: 0 }];
  assert.equal(list({ requests: changeFirst({ weightedServices }) }), [
    `${QUESTIONABLE.weightlessSplit} fetch-round`,
  ]);
  const { classes, services } = createTestConfiguration();
  assert.equal(
    list({
      classes: [...classes, { name: "idle", reservedRatio: 0 }],
      services: [...services, { name: "alone", calls: [] }],
    }),
    [
      `${QUESTIONABLE.unusedClass} idle`,
      `${QUESTIONABLE.unreachedService} alone`,
    ],
  );
  assert.equal(
    list({
      classes: [...classes, { name: "idle", reservedRatio: 0 }],
      accounts: [{ name: "a", keyDigests: [], className: "idle" }],
    }),
    [`${QUESTIONABLE.accountWithoutKeys} a`],
  );
  assert.equal(list({ accounts: [] }), [
    `${QUESTIONABLE.noAccounts} accounts`,
  ]);
  assert.equal(list({ requests: changeFirst({ isPublic: true }) }), [
    `${QUESTIONABLE.publicWithoutAccounts} fetch-round`,
  ]);
});

test("limits that contradict each other are found", () => {
  assert.equal(
    list({ requests: changeFirst({ deadlineMs: 100, targetLatencyMs: 200 }) }),
    [`${QUESTIONABLE.targetBeyondDeadline} fetch-round`],
  );
  assert.equal(
    list({ accounts: [{ name: "a", keyDigests: KEYS, burst: 5 }] }),
    [`${QUESTIONABLE.burstWithoutRate} a`],
  );
  const withoutBudget = list({ retryRatio: 0 });
  assert.is(withoutBudget.length, createTestConfiguration().requests.length);
  assert.match(withoutBudget[0]!, QUESTIONABLE.retriesWithoutBudget);
});

test("requests whose services have too few instances are found if their number is known", () => {
  const counts = new Map([
    ["delivery-ledger", 2],
    ["stock", 1],
    ["price-sheets", 3],
  ]);
  assert.equal(list({}, counts), [
    `${QUESTIONABLE.serviceWithoutInstances} fetch-round`,
    `${QUESTIONABLE.retriesWithoutInstances} read-levels`,
  ]);
});

test.run();
