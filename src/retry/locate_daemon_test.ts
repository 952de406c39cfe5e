import { test } from "uvu";
import * as assert from "uvu/assert";
import type { Configuration, MemberRecord } from "../generated/types.ts";
import { locateDaemon } from "./locate_daemon.ts";

const REGIONS = [
  { name: "vlaanderen", failureDomains: ["gent-a", "gent-b"] },
  { name: "wallonie", failureDomains: ["namur-a"] },
] as unknown as Configuration["regions"];

function createMember(incarnation: string, failureDomain: string) {
  return { incarnation, failureDomain } as MemberRecord;
}

test("a partial view of other failure domains does not shrink the fleet", () => {
  const own = ["a", "b", "c", "d"].map((name) => createMember(name, "gent-b"));
  const members = [...own, createMember("e", "namur-a")];
  assert.equal(locateDaemon(members, own[2]!, REGIONS), {
    daemons: 12,
    index: 6,
  });
});

test("a complete view of an uneven fleet counts", () => {
  const own = createMember("a", "gent-a");
  const others = Array.from(
    { length: 9 },
    (_, index) => createMember(`b${index}`, "gent-b"),
  );
  assert.is(locateDaemon([own, ...others], own, REGIONS).daemons, 10);
});

test.run();
