import * as assert from "uvu/assert";
import { suite } from "uvu";
import { digestKey } from "../accounts/mod.ts";
import {
  ConfigurationHolder,
  ConfigurationProgress,
} from "../configuration/mod.ts";
import { REASONS } from "../outcome/mod.ts";
import { createTestConfiguration } from "../testing/create_test_configuration.ts";
import {
  createSilentLogger,
  DaemonMetrics,
  DecisionJournal,
} from "../telemetry/mod.ts";
import { SystemClock } from "../time/mod.ts";
import type { CallEnvironment } from "./call_environment.ts";
import { identifyCaller } from "./identify_caller.ts";
import type { CallerTarget } from "./identify_caller.ts";

const test = suite("identification of callers");

const RUNNING_PARENT = "running";

function createEnvironment(): CallEnvironment {
  const clock = new SystemClock();
  const log = createSilentLogger();
  const configuration = new ConfigurationHolder();
  const [request] = createTestConfiguration().requests;
  configuration.replaceIfNewer(
    createTestConfiguration({
      accounts: [{ name: "north", keyDigests: [digestKey("key")] }],
      requests: [
        { ...request!, name: "closed", host: "h", pathPrefix: "/closed/" },
        {
          ...request!,
          ...{ name: "open", host: "h", pathPrefix: "/open/", isPublic: true },
        },
      ],
    }),
    1,
  );
  return {
    ...{ clock, log, configuration },
    metrics: new DaemonMetrics(),
    journal: new DecisionJournal(clock, log),
    activeCalls: {
      find: (id: string) => id === RUNNING_PARENT ? {} : undefined,
    },
  } as unknown as CallEnvironment;
}

/** Returns the account's name, `none`, or the reason of the refusal. */
function identify(
  changes: Partial<CallerTarget>,
  environment = createEnvironment(),
) {
  const caller = identifyCaller(environment, {
    ...{ host: "h", path: "/closed/1", requestId: "r", parentId: "" },
    key: undefined,
    isFromThisVm: () => false,
    ...changes,
  });
  return caller.isOk()
    ? caller.value.account?.name ?? "none"
    : caller.error.reason;
}

test("callers are identified by their key, except on public routes", () => {
  assert.is(identify({ key: "key" }), "north");
  assert.is(identify({ key: "other" }), REASONS.unauthorized);
  assert.is(identify({}), REASONS.unauthorized);
  assert.is(identify({ path: "/open/1", key: "other" }), "none");
  assert.is(identify({ path: "/none/1" }), REASONS.unknownRequest);
});

// Guards against callers that avoid the key check and the allowance by the id of their own running request.
test("a nested call of a running parent needs no key, if it was made on this VM", () => {
  const parentId = RUNNING_PARENT;
  assert.is(identify({ parentId, isFromThisVm: () => true }), "none");
  assert.is(identify({ parentId }), REASONS.unauthorized);
  assert.is(identify({ parentId, key: "other" }), REASONS.unauthorized);
  assert.is(identify({ parentId, key: "key" }), "north");
});

// Guards against callers that leave out the key by an id of the form of a nested call, and against a false 401.
test("a nested call of an unknown parent is served only if it was made on this VM", () => {
  const parentId = "unknown";
  assert.is(identify({ parentId, isFromThisVm: () => true }), "none");
  assert.is(identify({ parentId }), REASONS.unauthorized);
  assert.is(identify({ parentId, key: "key" }), "north");
  assert.is(identify({ parentId, key: "other" }), REASONS.unauthorized);
});

// The journal did not say whether the store is empty, out of reach or has a
// version that was refused.
test("without a configuration, callers are not told that their key is wrong, and the journal says why there is none", () => {
  const environment = createEnvironment();
  const { clock, journal, log } = environment;
  const holder = new ConfigurationHolder();
  const configurationProgress = new ConfigurationProgress({
    ...{ clock, holder, journal, log },
  });
  const withoutConfiguration = {
    ...environment,
    ...{ configuration: holder, configurationProgress },
  };
  assert.is(identify({ key: "key" }, withoutConfiguration), REASONS.notReady);
  const [refusal] = journal.list();
  assert.is(refusal?.facts.reason, REASONS.notReady);
  assert.is(refusal?.facts.missing, "store-not-read");
});

// Guards against callers without a key that displace the entries of others.
test("refusals for a wrong key are counted and not recorded in the journal", async () => {
  const environment = createEnvironment();
  identify({ key: "other" }, environment);
  const { values } = await environment.metrics.failures.get();
  assert.equal(values.map(({ labels, value }) => [labels.reason, value]), [
    [REASONS.unauthorized, 1],
  ]);
  assert.equal(environment.journal.list(), []);
});

test.run();
