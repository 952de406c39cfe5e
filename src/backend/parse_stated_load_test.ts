import { suite } from "uvu";
import * as assert from "uvu/assert";
import { parseStatedLoad } from "./parse_stated_load.ts";
import { readServerStatement } from "./read_server_statement.ts";

const test = suite("parseStatedLoad");

const NAMES = {
  rateLimit: "limit",
  leaving: "leaving",
  load: "load",
};

test("reads the three figures of earlier deployments, and the fourth", () => {
  const base = { running: 3, waiting: 1, slots: 8 };
  assert.equal(parseStatedLoad("3,1,8"), { ...base, slownessRatio: undefined });
  assert.equal(parseStatedLoad(" 3, 1, 8, 250"), {
    ...base,
    slownessRatio: 2.5,
  });
});

test("ignores values that cannot be read, so that a faulty server counts as one that states nothing", () => {
  const unreadable = ["", "NaN", "3,1", "3,1,8,", "3,1,8,-5", "3,1,8,1e3"];
  for (const text of [...unreadable, "3,1,8,0", "3,1,8,100,1"]) {
    assert.is(parseStatedLoad(text), undefined, text);
  }
});

test("a statement contains the load beside the limit, and an unreadable load does not change the rest", () => {
  const limited = ["Limit", "5", "Load", "1,0,4,120"];
  assert.equal(readServerStatement(limited, NAMES), {
    requestsPerSecond: 5,
    invalidLimit: undefined,
    isLeaving: false,
    load: { running: 1, waiting: 0, slots: 4, slownessRatio: 1.2 },
  });
  const { load, requestsPerSecond } = readServerStatement(
    ["limit", "5", "load", "busy"],
    NAMES,
  );
  assert.is(load, undefined);
  assert.is(requestsPerSecond, 5);
});

test.run();
