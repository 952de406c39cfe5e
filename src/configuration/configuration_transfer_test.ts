import { test } from "uvu";
import * as assert from "uvu/assert";
import { createTestConfiguration } from "../testing/create_test_configuration.ts";
import { ConfigurationHolder } from "./configuration_holder.ts";
import {
  createConfigurationTransfer,
  readConfigurationTransfer,
} from "./configuration_transfer.ts";

// Guards against a daemon that stands still for each peer that fetches a large configuration.
test("a full document is compressed once for all peers, and anew for the next version", () => {
  const holder = new ConfigurationHolder();
  const configuration = createTestConfiguration();
  holder.replaceIfNewer(configuration, 7);
  const first = createConfigurationTransfer(holder, 0);
  assert.is(createConfigurationTransfer(holder, 0), first);
  assert.is(createConfigurationTransfer(holder, 3), first);
  holder.replaceIfNewer({ ...configuration, retryRatio: 0.3 }, 8);
  const second = createConfigurationTransfer(holder, 0);
  const received = readConfigurationTransfer(second, undefined);
  assert.is(received._unsafeUnwrap()?.version, 8);
  assert.is(received._unsafeUnwrap()?.configuration.retryRatio, 0.3);
});

test.run();
