import { test } from "uvu";
import * as assert from "uvu/assert";
import { createMemberRecord } from "../testing/create_member_record.ts";
import { countRegionDaemons } from "./count_region_daemons.ts";

const REGIONS = [
  { name: "vlaanderen", failureDomains: ["gent-a", "gent-b"] },
  { name: "wallonie", failureDomains: ["namur-a", "namur-b"] },
];
const SELF = createMemberRecord("self");

test("a failure domain known in part counts as large as the own one", () => {
  const members = [SELF, createMemberRecord("one"), createMemberRecord("two")];
  assert.is(countRegionDaemons(members, SELF, REGIONS), 6);
});

test("more known daemons count, those of the other region do not", () => {
  const failureDomain = "gent-b";
  const members = [
    SELF,
    createMemberRecord("one", { failureDomain }),
    createMemberRecord("two", { failureDomain }),
    createMemberRecord("far", { region: "wallonie" }),
  ];
  assert.is(countRegionDaemons(members, SELF, REGIONS), 3);
});

test("without a configuration a daemon counts what it knows", () => {
  assert.is(countRegionDaemons([SELF], SELF, []), 1);
});

test.run();
