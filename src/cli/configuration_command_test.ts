import * as assert from "uvu/assert";
import { test } from "uvu";
import type { ConfigurationWriter } from "../configuration/mod.ts";
import { ConfigurationCommand } from "./configuration_command.ts";

class FailingCommand extends ConfigurationCommand {
  writer: ConfigurationWriter | undefined;

  protected override runWith(writer: ConfigurationWriter): Promise<never> {
    this.writer = writer;
    throw new Error("unexpected");
  }
}

test("a command that throws closes its connections to the store", async () => {
  const command = new FailingCommand();
  command.storeUrl = "http://127.0.0.1:9";
  let message = "";
  try {
    await command.execute();
  } catch (cause) {
    message = (cause as Error).message;
  }
  assert.is(message, "unexpected");
  const read = await command.writer?.reader.readHead();
  assert.match(read?.isErr() ? read.error.message : "", "destroyed");
});

test.run();
