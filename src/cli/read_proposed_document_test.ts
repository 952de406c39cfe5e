import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { readJsonFile } from "./read_proposed_document.ts";

// Guards against keys of client accounts in the output of a command, since the parser's message quotes the file.
test("the error for a file that is no JSON quotes nothing of it", async () => {
  const folder = await mkdtemp(join(tmpdir(), "celeryhollow-json-"));
  const path = join(folder, "configuration.json");
  for (const text of ['{"keys":[KEY-1"]}', '{"keys":["KEY-1",]}']) {
    await writeFile(path, text);
    const { message } = (await readJsonFile(path))._unsafeUnwrapErr();
    assert.match(message, "cannot be read as JSON");
    assert.not.match(message, "EY-1");
  }
  await rm(folder, { recursive: true });
});

test.run();
