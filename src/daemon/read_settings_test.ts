import * as assert from "uvu/assert";
import { test } from "uvu";
import { readSettings } from "./read_settings.ts";

function createFlags(
  changes: Record<string, string | undefined> = {},
): Record<string, string | undefined> {
  return {
    address: "127.0.0.1",
    region: "r",
    failureDomain: "d",
    fleetToken: "long-enough",
    ...changes,
  };
}

test("uses defaults for settings that are not given", () => {
  const settings = readSettings({ flags: createFlags(), environment: {} })
    ._unsafeUnwrap();
  assert.is(settings.callerPort, 7100);
});

test("prefers flags over environment variables", () => {
  const environment = {
    CELERYHOLLOW_CALLER_PORT: "1",
    CELERYHOLLOW_PEER_PORT: "2",
  };
  const settings = readSettings({
    flags: createFlags({ callerPort: "3" }),
    environment,
  })._unsafeUnwrap();
  assert.is(settings.callerPort, 3);
  assert.is(settings.peerPort, 2);
});

test("reports all invalid settings at once", () => {
  const flags = createFlags({
    address: "nowhere",
    callerPort: "70000",
    region: undefined,
  });
  const { message } = readSettings({ flags, environment: {} })
    ._unsafeUnwrapErr();
  assert.match(message, "--address (CELERYHOLLOW_ADDRESS)");
  assert.match(message, "--caller-port (CELERYHOLLOW_CALLER_PORT)");
  assert.match(message, "--region (CELERYHOLLOW_REGION) is required");
});

test("rejects an environment variable that is not a setting", () => {
  const error = readSettings({
    flags: createFlags(),
    environment: { CELERYHOLLOW_CALER_PORT: "1" },
  })._unsafeUnwrapErr();
  assert.match(error.message, "CELERYHOLLOW_CALER_PORT is not a setting");
});

test.run();
