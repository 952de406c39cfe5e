import { test } from "uvu";
import * as assert from "uvu/assert";
import { listIdentityParts } from "./request_identity.ts";

function listParts(host: string): string[] {
  return listIdentityParts({
    ...{ method: "GET", path: "/rounds/1", service: "rounds" },
    ...{ headers: ["Host", host], body: new Uint8Array(0) },
    context: { depth: 0, member: "", tenant: "other" },
  });
}

// Guards against a repeat that reaches the same route and counts as another request.
test("hosts of the same route identify the same request", () => {
  for (const host of ["App.Example", "app.example:8304", "app.example:"]) {
    assert.equal(listParts(host), listParts("app.example"));
  }
  assert.not.equal(listParts("other.example"), listParts("app.example"));
});

test.run();
