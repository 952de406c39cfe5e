import { suite } from "uvu";
import * as assert from "uvu/assert";
import type { StandingRefusal } from "../configuration/mod.ts";
import type { JournalEntry } from "../telemetry/mod.ts";
import { createMemberRecord } from "../testing/create_member_record.ts";
import type { DaemonStatus } from "./daemon_status.ts";
import { judgeVersion } from "./judge_version.ts";
import { summarizeRefusals } from "./summarize_refusals.ts";

const test = suite("versions at daemons");

function createRefusal(options: Partial<StandingRefusal> = {}) {
  return {
    ...{ version: 22, reason: "duplicate-route", entry: "routes[3]" },
    ...{ error: "routes[3]", source: "store", peer: "", revision: 9 } as const,
    ...{ refusedAtMs: 1_000, refusedForMs: 5_000 },
    ...options,
  };
}

function createStatus(
  configurationVersion: number,
  refused?: StandingRefusal,
  storeVersion = configurationVersion,
): DaemonStatus {
  return {
    self: createMemberRecord("one"),
    configurationVersion,
    configuration: {
      ...{ activeVersion: configurationVersion, activeSinceMs: 700 },
      ...{ storeVersion, behindMs: 0, refused },
    },
  } as DaemonStatus;
}

function createEntry(
  kind: JournalEntry["kind"],
  facts: JournalEntry["facts"],
): JournalEntry {
  return { atMs: 900, kind, requestId: "", facts };
}

const REPLACED = [
  createEntry("configuration-change", { version: 22, previousVersion: 21 }),
  createEntry("configuration-change", { version: 23, previousVersion: 22 }),
];
const REFUSED_BEFORE = [
  createEntry("configuration-refused", { version: 22, error: "old build" }),
];

for (
  const [expected, status, journal] of [
    ["active 700 ", createStatus(22), []],
    ["refused 1000 routes[3]", createStatus(21, createRefusal()), []],
    ["replaced 900 ", createStatus(23), REPLACED],
    ["refused 900 old build", createStatus(23), REFUSED_BEFORE],
    ["skipped 0 ", createStatus(23), []],
    ["read 0 ", createStatus(21, undefined, 22), []],
    ["unknown 0 ", createStatus(21), []],
  ] as const
) {
  test(`explain version tells "${expected.split(" ", 1).join()}" at a daemon`, () => {
    const { state, sinceMs, entry } = judgeVersion(22, status, journal);
    assert.is(`${state} ${sinceMs} ${entry}`, expected);
  });
}

// A daemon of an older build must not break the commands.
test("the status of an older build has no refused version, and its active one is told", () => {
  const { configuration: _, ...older } = createStatus(22);
  assert.is(judgeVersion(22, older, []).state, "active");
  assert.equal(summarizeRefusals([older]), []);
});

test("equal refusals of several daemons are one line with the longest time", () => {
  const summaries = summarizeRefusals([
    createStatus(21, createRefusal()),
    createStatus(21, createRefusal({ refusedForMs: 9_000 })),
    createStatus(21, createRefusal({ version: 29 })),
    createStatus(22),
  ]);
  assert.equal(
    summaries.map(({ version, daemons, refusedForMs }) => [
      ...[version, daemons.length, refusedForMs],
    ]),
    [[29, 1, 5_000], [22, 2, 9_000]],
  );
});

test.run();
