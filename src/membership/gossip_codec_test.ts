import { test } from "uvu";
import * as assert from "uvu/assert";
import type { GossipMessage, MemberRecord } from "../generated/types.ts";
import { createMemberRecord } from "../testing/create_member_record.ts";
import { GossipCodec } from "./gossip_codec.ts";

const codec = new GossipCodec("light-fleet-token");

function createMessage(records: readonly MemberRecord[]): GossipMessage {
  return {
    ...{ kind: "push", sender: "one", failureDomain: "gent-a", sentAtMs: 1 },
    ...{ recipient: "127.0.0.1:1", sequence: 0, configurationVersion: 3 },
    ...{ digest: 7, records: [...records] },
  };
}

function listIncarnations(message: GossipMessage): string[] | undefined {
  return codec.decode(codec.encode(message))?.records.map((
    { incarnation },
  ) => incarnation);
}

// Guards against one record that costs all others of the datagram, the sender's
// own, and the configuration version that it tells.
test("an invalid record is left out, and the rest of the datagram is taken", () => {
  const odd = [
    { slots: -1 },
    { state: "resting" as "alive" },
    { service: undefined },
    { peerPort: "7102" as unknown as number },
  ];
  for (const changes of odd) {
    const message = createMessage([
      createMemberRecord("one"),
      { ...createMemberRecord("odd"), ...changes } as MemberRecord,
      createMemberRecord("two"),
    ]);
    assert.equal(listIncarnations(message), ["one", "two"]);
    assert.is(codec.decode(codec.encode(message))?.configurationVersion, 3);
  }
});

// Guards against a fleet of two builds whose older one takes no record of the newer.
test("fields that a newer build adds are ignored", () => {
  const record = { ...createMemberRecord("one"), ...{ shade: 3 } };
  assert.equal(listIncarnations(createMessage([record])), ["one"]);
  const message = { ...createMessage([]), ...{ palette: [1] } };
  assert.equal(listIncarnations(message), []);
});

test("a datagram without its required fields is dropped", () => {
  const message = createMessage([createMemberRecord("one")]);
  for (const name of ["sender", "kind", "records"]) {
    assert.is(listIncarnations({ ...message, [name]: undefined }), undefined);
  }
});

test.run();
