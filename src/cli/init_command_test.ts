import * as assert from "uvu/assert";
import { suite } from "uvu";
import type { ProposalFile } from "../generated/types.ts";
import { runCommand } from "../testing/run_command.ts";
import { EXIT_CODES } from "./exit_codes.ts";

const test = suite("interactive questionnaire");

test("interactive answers generate a configuration; invalid answers are asked for again", async () => {
  const lines = [
    "bakery",
    "north",
    "n-a, n-b",
    "10",
    "orders, reading",
    "",
    "shops",
    "front, stock",
    ...["2", "10", "20", "stock"],
    ...["2", "5", "not a number", "50", "-"],
    "order, read",
    ...["front", "POST", "/orders", "orders", "no", "", "", ""],
    ...["front", "FETCH", "GET", "/read", "reading", "maybe", "yes", "800"],
    ...["100", "-"],
  ];
  const asked = await runCommand(
    ["init", "--offline", "--json"],
    `${lines.join("\n")}\n`,
  );
  assert.is(asked.exitCode, EXIT_CODES.success, asked.stderr);
  assert.match(asked.stderr, /please enter a number/);
  assert.match(asked.stderr, /please answer yes or no/);
  const { answers, configuration } = JSON.parse(asked.stdout) as ProposalFile;
  assert.equal(answers.importantClasses, ["orders"]);
  assert.equal(
    configuration.requests.map(({ deadlineMs, isRepeatable, name }) => ({
      name,
      isRepeatable,
      deadlineMs,
    })),
    [
      { name: "order", isRepeatable: false, deadlineMs: 2_000 },
      { name: "read", isRepeatable: true, deadlineMs: 800 },
    ],
  );
});

test("an input that ends before the last answer changes nothing and is reported", async () => {
  const { exitCode, stderr } = await runCommand(
    ["init", "--offline"],
    "bakery\n",
  );
  assert.is(exitCode, EXIT_CODES.failure);
  assert.match(stderr, /nothing was changed/);
});

test.run();
