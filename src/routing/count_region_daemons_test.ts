import { test } from "uvu";
import * as assert from "uvu/assert";
import { createMemberRecord } from "../testing/create_member_record.ts";
import { countRegionDaemons } from "./count_region_daemons.ts";

const REGIONS = [
  { name: "vlaanderen", failureDomains: ["gent-a", "gent-b"] },
  { name: "wallonie", failureDomains: ["namur-a", "namur-b"] },
];
const SELF = createMemberRecord("self");

test("counts a partially known failure domain as large as its own", () => {
  const members = [SELF, createMemberRecord("one"), createMemberRecord("two")];
  assert.is(countRegionDaemons(members, SELF, REGIONS), 6);
});

test("counts known daemons beyond the estimate, but not those of other regions", () => {
  const failureDomain = "gent-b";
  const members = [
    SELF,
    createMemberRecord("one", { failureDomain }),
    createMemberRecord("two", { failureDomain }),
    createMemberRecord("far", { region: "wallonie" }),
  ];
  assert.is(countRegionDaemons(members, SELF, REGIONS), 3);
});

test("counts only known daemons without a configuration", () => {
  assert.is(countRegionDaemons([SELF], SELF, []), 1);
});

test.run();
