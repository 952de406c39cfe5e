/**
 * Runs the commands of the README's first two sections in a clean copy of the
 * sources, as a newcomer would after `npm ci`.
 */

import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import { cp, mkdtemp, readFile, rm, symlink } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import process from "node:process";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const test = suite("commands of the README");

const COPIED_PATHS = [
  "deploy",
  "examples",
  "package.json",
  "platform",
  "README.md",
  "schema",
  "src",
  "tsconfig.json",
] as const;

/** Commands that are not run: the install, which precedes every test run, and the tests themselves. */
const SKIPPED_COMMANDS: ReadonlySet<string> = new Set(["npm ci", "npm test"]);

const LOCAL_FLEET_COMMAND = "npm run --silent local-fleet";

/** Placeholder in the README for the key that a refusal carries. */
const KEY_PLACEHOLDER = "KEY";

interface CommandOutput {
  readonly exitCode: number | null;
  readonly output: string;
}

async function createCleanCopy(): Promise<string> {
  const folder = await mkdtemp(join(tmpdir(), "celeryhollow-readme-"));
  for (const path of COPIED_PATHS) {
    await cp(path, join(folder, path), { recursive: true });
  }
  await symlink(resolve("node_modules"), join(folder, "node_modules"));
  return folder;
}

function startCommand(command: string, folder: string): ChildProcess {
  return spawn("bash", ["-c", command], {
    cwd: folder,
    env: { ...process.env, NO_COLOR: "1", FORCE_COLOR: "0" },
    detached: true,
  });
}

async function runCommand(
  command: string,
  folder: string,
): Promise<CommandOutput> {
  const child = startCommand(command, folder);
  let output = "";
  child.stdout?.on("data", (text) => output += text);
  child.stderr?.on("data", (text) => output += text);
  const [exitCode] = await once(child, "close");
  return { exitCode, output };
}

/** Lists the commands of a section in order: indented lines, and inline code that names npm. */
function listCommands(readme: string, title: string): string[] {
  const section = readme.split(/^## /m).find((text) => text.startsWith(title));
  assert.ok(section, `the README has a section "${title}"`);
  const joined = section.replaceAll("\\\n", "");
  const found = joined.matchAll(/^ {4}(\S.*)$|`(npm (?:run |test)[^`]*)`/gm);
  return [...found]
    .map(([, indented, inline]) => indented ?? inline ?? "")
    .flatMap((line) => line.split(" && "))
    .map((command) => command.replace(/\s+#.*$/, "").trim())
    .filter((command) => !SKIPPED_COMMANDS.has(command));
}

async function readLocalFleetExports(fleet: ChildProcess): Promise<string> {
  let output = "";
  for await (const text of fleet.stdout ?? []) {
    output += text;
    if (output.includes("curl -i")) {
      return output.split("\n").filter((line) => line.startsWith("export "))
        .join("\n");
    }
  }
  throw new Error(`the local fleet ended early: ${output}`);
}

async function stopCommand(child: ChildProcess): Promise<void> {
  const closed = once(child, "close");
  if (child.pid !== undefined) {
    process.kill(-child.pid, "SIGTERM");
  }
  child.stdout?.resume();
  await closed;
}

async function runChecked(command: string, folder: string): Promise<string> {
  const { exitCode, output } = await runCommand(command, folder);
  assert.is(exitCode, 0, `${command}\n${output}`);
  return output;
}

test('the commands under "See it work" succeed', async () => {
  const folder = await createCleanCopy();
  try {
    const readme = await readFile(join(folder, "README.md"), "utf8");
    const commands = listCommands(readme, "See it work");
    assert.ok(commands.length > 0);
    for (const command of commands) {
      await runChecked(command, folder);
    }
  } finally {
    await rm(folder, { recursive: true });
  }
});

test('the commands under "Try the operator tool" succeed', async () => {
  const folder = await createCleanCopy();
  let fleet: ChildProcess | undefined;
  try {
    const readme = await readFile(join(folder, "README.md"), "utf8");
    const commands = listCommands(readme, "Try the operator tool");
    assert.ok(commands.includes(LOCAL_FLEET_COMMAND));
    let variables = "";
    let key = "";
    for (const command of commands) {
      if (command === LOCAL_FLEET_COMMAND) {
        fleet = startCommand(command, folder);
        variables = await readLocalFleetExports(fleet);
        continue;
      }
      const output = await runChecked(
        `${variables}\n${command.replace(KEY_PLACEHOLDER, key)}`,
        folder,
      );
      key = /^celeryhollow-key: (\S+)/m.exec(output)?.[1] ?? key;
    }
    assert.is.not(key, "", "a refusal carried a key");
  } finally {
    await (fleet && stopCommand(fleet));
    await rm(folder, { recursive: true });
  }
});

test.run();
