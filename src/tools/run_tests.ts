/**
 * Runs every test file in a separate process and sums up the results.
 *
 * Failing tests listed in KNOWN-RED.txt are printed, but not counted as failed. A
 * listed test that passes is an error, so that the list stays up to date.
 */

import { spawn } from "node:child_process";
import { readdir, readFile } from "node:fs/promises";
import process from "node:process";

const BUILD_FOLDER = "build";
const KNOWN_FAILURES_FILE = "KNOWN-RED.txt";
const PARALLEL_FILES = 4;
/** Timeout after which a hanging test file is killed; the slowest takes 35 s on an idle machine and 90 s at a load average of 20. */
const FILE_TIMEOUT_MS = 240_000;
/** Ending of test files that start whole fleets; they run one at a time after the others. */
const EXCLUSIVE_FILE_SUFFIX = "readme_commands_test.js";
/** Timeout of an exclusive test file; it takes 160 s on an idle machine. */
const EXCLUSIVE_FILE_TIMEOUT_MS = 900_000;

interface FileReport {
  readonly file: string;
  readonly passed: number;
  readonly failedNames: readonly string[];
  readonly output: string;
}

async function findTestFiles(filters: readonly string[]): Promise<string[]> {
  const files = await readdir(BUILD_FOLDER, { recursive: true });
  return files.filter((file) => file.endsWith("_test.js"))
    .filter((file) =>
      filters.length === 0 || filters.some((filter) => file.includes(filter))
    )
    .sort();
}

function isExclusive(file: string): boolean {
  return file.endsWith(EXCLUSIVE_FILE_SUFFIX);
}

function runFile(file: string): Promise<FileReport> {
  return new Promise((resolve) => {
    const child = spawn("node", [`${BUILD_FOLDER}/${file}`], {
      env: { ...process.env, NO_COLOR: "1", FORCE_COLOR: "0" },
      timeout: isExclusive(file) ? EXCLUSIVE_FILE_TIMEOUT_MS : FILE_TIMEOUT_MS,
      killSignal: "SIGKILL",
    });
    let output = "";
    child.stdout.on("data", (text) => output += text);
    child.stderr.on("data", (text) => output += text);
    child.on("close", (code) => resolve(parseReport(file, output, code)));
  });
}

function parseReport(
  file: string,
  output: string,
  code: number | null,
): FileReport {
  const passed = Number(/Passed:\s+(\d+)/.exec(output)?.[1] ?? 0);
  const failedNames = [...output.matchAll(/FAIL\s+.*"(.*)"/g)].map((
    [, name = ""],
  ) => name);
  const total = Number(/Total:\s+(\d+)/.exec(output)?.[1] ?? 0);
  const isComplete = total > 0 && passed + failedNames.length === total;
  if (!isComplete || (code !== 0 && failedNames.length === 0)) {
    const incompleteRun =
      `(${passed} of ${total} ran, ended with code ${code})`;
    return {
      file,
      passed,
      failedNames: [...failedNames, incompleteRun],
      output,
    };
  }
  return { file, passed, failedNames, output };
}

async function runAll(files: readonly string[]): Promise<FileReport[]> {
  const reports: FileReport[] = [];
  async function runPending(pending: string[]): Promise<void> {
    for (
      let file = pending.shift();
      file !== undefined;
      file = pending.shift()
    ) {
      const report = await runFile(file);
      console.log(
        `${
          report.failedNames.length === 0 ? "ok    " : "FAILED"
        } ${report.file} (${report.passed})`,
      );
      reports.push(report);
    }
  }
  const parallel = files.filter((file) => !isExclusive(file));
  await Promise.all(
    Array.from({ length: PARALLEL_FILES }, () => runPending(parallel)),
  );
  await runPending(files.filter(isExclusive));
  return reports;
}

async function readKnownFailures(): Promise<Set<string>> {
  const text = await readFile(KNOWN_FAILURES_FILE, "utf8").catch(() => "");
  return new Set(
    [...text.matchAll(/^test: (.*)$/gm)].map(([, name = ""]) => name.trim()),
  );
}

function listFailures({ file, failedNames }: FileReport): string[] {
  const path = file.replace(/\.js$/, ".ts");
  return failedNames.map((name) => `${path} > ${name}`);
}

async function main(): Promise<void> {
  const filters = process.argv.slice(2);
  const knownFailures = await readKnownFailures();
  const reports = await runAll(await findTestFiles(filters));
  const failures = reports.flatMap(listFailures);
  const unexpected = failures.filter((failure) => !knownFailures.has(failure));
  const listedButPassing = filters.length > 0
    ? []
    : [...knownFailures].filter((name) => !failures.includes(name));
  const isKnown = (report: FileReport) =>
    listFailures(report).every((failure) => knownFailures.has(failure));
  const failing = reports.filter(({ failedNames }) => failedNames.length > 0);
  // What was not expected comes last, where a log that is cut still has it.
  for (
    const { output, file } of [
      ...failing.filter(isKnown),
      ...failing.filter((report) => !isKnown(report)),
    ]
  ) {
    console.log(`\n--- ${file}\n${output}`);
  }
  failures.filter((failure) => knownFailures.has(failure)).forEach((failure) =>
    console.log(`known red: ${failure}`)
  );
  unexpected.forEach((failure) => console.log(`failed: ${failure}`));
  listedButPassing.forEach((name) =>
    console.log(`listed in ${KNOWN_FAILURES_FILE} but passes: ${name}`)
  );
  const passed = reports.reduce((sum, report) => sum + report.passed, 0);
  const failed = unexpected.length + listedButPassing.length;
  console.log(`${passed} passed, ${failed} failed`);
  process.exitCode = failed > 0 || passed === 0 ? 1 : 0;
}

await main();
