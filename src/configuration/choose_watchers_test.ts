import { test } from "uvu";
import * as assert from "uvu/assert";
import type { MemberRecord } from "../generated/types.ts";
import {
  chooseWatchers,
  chooseWatchersWithSuccessors,
} from "./choose_watchers.ts";

type Member = Pick<MemberRecord, "incarnation" | "state">;

function createMembers(): Member[] {
  return ["a", "b", "c", "d", "e"].map((incarnation) => ({
    incarnation,
    state: "alive",
  }));
}

function setState(
  members: readonly Member[],
  incarnation: string,
  state: Member["state"],
): Member[] {
  return members.map((member) =>
    member.incarnation === incarnation ? { ...member, state } : member
  );
}

test("while all members are alive, the watchers have no successors", () => {
  const members = createMembers();
  const expected = chooseWatchers(["a", "b", "c", "d", "e"], 2);
  assert.equal([...chooseWatchersWithSuccessors(members, 2)], expected);
});

for (const state of ["suspect", "leaving"] as const) {
  test(`a watcher in state ${state} stays, and its successor watches too`, () => {
    const members = createMembers();
    const [first = "", second = ""] = chooseWatchers(
      members.map(({ incarnation }) => incarnation),
      2,
    );
    const chosen = chooseWatchersWithSuccessors(
      setState(members, first, state),
      1,
    );
    assert.equal([...chosen], [first, second]);
  });
}

test("if no member is alive, the watchers stay", () => {
  const [first = ""] = chooseWatchers(["a", "b", "c", "d", "e"], 1);
  const members = createMembers().map(({ incarnation }): Member => ({
    incarnation,
    state: "leaving",
  }));
  assert.equal([...chooseWatchersWithSuccessors(members, 1)], [first]);
});

test.run();
