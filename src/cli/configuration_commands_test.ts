import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import * as assert from "uvu/assert";
import { suite } from "uvu";
import type { ProposalFile } from "../generated/types.ts";
import { runCommand } from "../testing/run_command.ts";
import type { CommandResult } from "../testing/run_command.ts";
import { ObjectApiStandIn } from "../testing/object_api_stand_in.ts";
import { EXIT_CODES } from "./exit_codes.ts";
import { claimNetwork } from "../testing/claim_network.ts";

const STORE_ADDRESS = `127.${await claimNetwork()}.1.1`;
const STORE_PORT = 7000;
const RONDEVAART = "examples/rondevaart.answers.json";

interface Context {
  store: ObjectApiStandIn;
  folder: string;
}

const test = suite<Context>("configuration commands");

test.before.each(async (context) => {
  context.store = new ObjectApiStandIn();
  await context.store.listen(STORE_ADDRESS, STORE_PORT);
  context.folder = await mkdtemp(join(tmpdir(), "celeryhollow-"));
});

test.after.each(async ({ folder, store }) => {
  store.close();
  await rm(folder, { recursive: true });
});

function runWithStore(
  args: readonly string[],
  input = "",
): Promise<CommandResult> {
  const storeUrl = `http://${STORE_ADDRESS}:${STORE_PORT}`;
  return runCommand([...args, "--store-url", storeUrl], input);
}

async function writeJson(
  { folder }: Context,
  name: string,
  value: unknown,
): Promise<string> {
  const path = join(folder, name);
  await writeFile(path, JSON.stringify(value));
  return path;
}

async function readAnswers(): Promise<ProposalFile["answers"]> {
  return JSON.parse(await readFile(RONDEVAART, "utf8"));
}

/** Applies the example answers and returns the configuration generated from them. */
async function initialize(): Promise<ProposalFile["configuration"]> {
  const applied = await runWithStore([
    "init",
    "--answers",
    RONDEVAART,
    "--apply",
  ]);
  assert.is(applied.exitCode, EXIT_CODES.success, applied.stderr);
  const { stdout } = await runWithStore([
    "init",
    "--answers",
    RONDEVAART,
    "--json",
  ]);
  return JSON.parse(stdout).configuration;
}

test("the answers of both examples produce configurations that validate, and one is applied", async (context) => {
  for (const name of ["rondevaart", "verrou_boreal"]) {
    const output = join(context.folder, `${name}.json`);
    const generated = await runCommand([
      "init",
      "--answers",
      `examples/${name}.answers.json`,
      "--offline",
      "--output",
      output,
    ]);
    assert.is(generated.exitCode, EXIT_CODES.success, generated.stderr);
    const validated = await runCommand(["validate", output]);
    assert.is(validated.exitCode, EXIT_CODES.success, validated.stderr);
  }
  const output = join(context.folder, "verrou_boreal.json");
  const applied = await runWithStore(["apply", output]);
  assert.is(applied.exitCode, EXIT_CODES.success, applied.stderr);
  assert.match(applied.stdout, /version 1/);
});

test("answers with several errors are rejected with all findings", async (context) => {
  const answers = await readAnswers();
  const [first, ...others] = answers.services;
  const faulty = {
    ...answers,
    classes: [...answers.classes, "unused"],
    importantClasses: ["unknown"],
    services: [{ ...first!, connections: 1, calls: ["nowhere"] }, ...others],
  };
  const path = await writeJson(context, "answers.json", faulty);
  const { exitCode, stderr } = await runCommand([
    "init",
    "--answers",
    path,
    "--offline",
  ]);
  assert.is(exitCode, EXIT_CODES.invalid);
  assert.match(stderr, /class unused has no request/);
  assert.match(stderr, /important class unknown/);
  assert.match(stderr, /accepts only 1 connections/);
  assert.match(stderr, /unknown service nowhere/);
});

test("a manual change is kept when new answers are merged, and reported", async (context) => {
  const configuration = await initialize();
  const edited = { ...configuration, retryRatio: 0.05 };
  const path = await writeJson(context, "configuration.json", edited);
  const applied = await runWithStore(["apply", path, "--base-version", "1"]);
  assert.is(applied.exitCode, EXIT_CODES.success, applied.stderr);
  const answers = { ...await readAnswers(), regionLinkMegabitsPerSecond: 50 };
  const adjusted = await runWithStore([
    "init",
    "--answers",
    await writeJson(context, "answers.json", answers),
    "--json",
  ]);
  assert.is(adjusted.exitCode, EXIT_CODES.success, adjusted.stderr);
  assert.match(adjusted.stderr, /kept manual change: retryRatio = 0.05/);
  const { configuration: next } = JSON.parse(adjusted.stdout);
  assert.is(next.retryRatio, 0.05);
  assert.is(next.regionLinkBitsPerSecond, 50_000_000);
});

test("conflicts between manual changes and answers are reported and resolved by --prefer", async (context) => {
  const configuration = await initialize();
  const requests = configuration.requests.map((request) =>
    request.name === "fetch-round" ? { ...request, deadlineMs: 700 } : request
  );
  const edited = { ...configuration, requests };
  await runWithStore([
    "apply",
    await writeJson(context, "configuration.json", edited),
  ]);
  const answers = await readAnswers();
  const changed = {
    ...answers,
    requests: answers.requests.map((request) =>
      request.name === "fetch-round" ? { ...request, deadlineMs: 900 } : request
    ),
  };
  const path = await writeJson(context, "answers.json", changed);
  const refused = await runWithStore(["init", "--answers", path]);
  assert.is(refused.exitCode, EXIT_CODES.conflict);
  assert.match(
    refused.stderr,
    /requests.fetch-round.deadlineMs was changed manually to 700, the answers give 900/,
  );
  for (const [preference, deadlineMs] of [["answers", 900], ["hand", 700]]) {
    const { stdout } = await runWithStore([
      "init",
      "--answers",
      path,
      "--prefer",
      String(preference),
      "--json",
    ]);
    const { configuration: next } = JSON.parse(stdout) as ProposalFile;
    const request = next.requests.find(({ name }) => name === "fetch-round");
    assert.is(request?.deadlineMs, deadlineMs);
  }
});

test("a proposal based on an older version is rejected with a list of the later changes", async (context) => {
  const output = join(context.folder, "proposal.json");
  const configuration = await initialize();
  await runWithStore(["init", "--answers", RONDEVAART, "--output", output]);
  const path = await writeJson(context, "configuration.json", {
    ...configuration,
    retryRatio: 0.2,
  });
  await runWithStore(["apply", path, "--author", "ana", "--note", "more"]);
  const outdated = await runWithStore(["apply", output]);
  assert.is(outdated.exitCode, EXIT_CODES.conflict);
  assert.match(outdated.stderr, /version 2 by ana \(more\)/);
});

test("history lists changes, and rollback writes an earlier version as a new one", async (context) => {
  const configuration = await initialize();
  const path = await writeJson(context, "configuration.json", {
    ...configuration,
    retryRatio: 0.2,
  });
  await runWithStore(["apply", path, "--note", "more retries"]);
  const rolledBack = await runWithStore(["rollback", "1"]);
  assert.is(rolledBack.exitCode, EXIT_CODES.success, rolledBack.stderr);
  assert.match(rolledBack.stdout, /version 3/);
  assert.match(rolledBack.stderr, /retryRatio: 0.2 -> 0.1/);
  const { stdout } = await runWithStore(["history", "--json"]);
  const { changes } = JSON.parse(stdout);
  assert.equal(
    changes.map(({ note, version }: { note: string; version: number }) => [
      version,
      note,
    ]),
    [[3, "rollback to version 1"], [2, "more retries"], [1, ""]],
  );
  const shown = await runWithStore(["show", "--version", "2"]);
  assert.is(JSON.parse(shown.stdout).retryRatio, 0.2);
  const unknown = await runWithStore(["rollback", "9"]);
  assert.is(unknown.exitCode, EXIT_CODES.failure);
});

test("diff prints the changes and reports them by its exit code", async (context) => {
  const configuration = await initialize();
  const same = await writeJson(context, "same.json", configuration);
  const other = await writeJson(context, "other.json", {
    ...configuration,
    retryRatio: 0.3,
  });
  const [equal, different] = [
    await runWithStore(["diff", same, "--exit-code"]),
    await runWithStore(["diff", other, "--exit-code"]),
  ];
  assert.is(equal.exitCode, EXIT_CODES.success);
  assert.is(different.exitCode, EXIT_CODES.differs);
  assert.match(different.stdout, /~ retryRatio: 0.1 -> 0.3/);
});

test("apply reports the accepted version when the response of the object API is lost", async ({ store, folder }) => {
  const output = join(folder, "proposal.json");
  await runCommand([
    "init",
    "--answers",
    RONDEVAART,
    "--offline",
    "--output",
    output,
  ]);
  store.faults.losesResponses = true;
  const { exitCode, stdout } = await runWithStore(["apply", output, "--json"]);
  assert.is(exitCode, EXIT_CODES.success);
  assert.equal(JSON.parse(stdout), { version: 1, waited: false });
});

test("an unavailable object API is reported as an error", async ({ store }) => {
  store.faults.isDown = true;
  const { exitCode, stderr, stdout } = await runWithStore([
    "history",
    "--json",
  ]);
  assert.is(exitCode, EXIT_CODES.failure);
  assert.match(stderr, /object API/);
  assert.is(JSON.parse(stdout).error.name, "StoreUnavailable");
});

test("usage errors have their own exit code", async () => {
  const wrongFlag = await runCommand(["apply", "--bogus", "x"]);
  assert.is(wrongFlag.exitCode, EXIT_CODES.usageError);
  const wrongNumber = await runWithStore(["history", "--limit", "many"]);
  assert.is(wrongNumber.exitCode, EXIT_CODES.usageError);
});

test.run();
