import { test } from "uvu";
import * as assert from "uvu/assert";
import { Fingerprinter } from "./fingerprinter.ts";
import type { IdentifiedCall } from "./request_identity.ts";

const CALL: IdentifiedCall = {
  method: "POST",
  path: "/rounds/1?page=2",
  service: "rounds",
  headers: ["Host", "app.example:8304", "Accept", "*/*"],
  callerService: "ledger",
  body: new TextEncoder().encode("{}"),
  context: { depth: 0, member: "", tenant: "other" },
};

const fingerprinter = new Fingerprinter("secret");

function isSame(change: Partial<IdentifiedCall>): boolean {
  return fingerprinter.compute({ ...CALL, ...change }) ===
    fingerprinter.compute(CALL);
}

test("method, host, path, query, body and client account identify a request", () => {
  const { context } = CALL;
  assert.is(isSame({}), true);
  assert.is(isSame({ method: "PUT" }), false);
  assert.is(isSame({ headers: ["Host", "other.example"] }), false);
  assert.is(isSame({ path: "/rounds/1?page=3" }), false);
  assert.is(isSame({ path: "/rounds/1" }), false);
  assert.is(isSame({ body: new Uint8Array(0) }), false);
  assert.is(isSame({ context: { ...context, member: "m" } }), false);
  assert.is(isSame({ context: { ...context, tenant: "t" } }), false);
});

test("the case and port of the host, other header fields and the service behind the host do not identify it", () => {
  assert.is(isSame({ headers: ["host", "APP.example"] }), true);
  assert.is(isSame({ service: "rounds-2" }), true);
});

test("without a host, the service that is called identifies a request", () => {
  const call = { ...CALL, headers: undefined };
  const other = { ...call, service: "stock" };
  assert.is.not(
    fingerprinter.compute(call),
    fingerprinter.compute(other),
  );
});

test("the calling service identifies nested calls only", () => {
  const context = { ...CALL.context, depth: 1 };
  const nested = fingerprinter.compute({ ...CALL, context });
  const other = { ...CALL, callerService: "stock" };
  assert.is(isSame({ callerService: "stock" }), true);
  assert.is.not(fingerprinter.compute({ ...other, context }), nested);
});

test("a fingerprint can be the argument of a command and a part of a path", () => {
  for (let index = 0; index < 200; index += 1) {
    const path = `/rounds/${index}`;
    assert.match(
      fingerprinter.compute({ ...CALL, path }),
      /^[A-Za-z0-9_.]{12}$/,
    );
  }
});

test("fingerprints differ with the secret of the fleet", () => {
  assert.is.not(
    new Fingerprinter("other").compute(CALL),
    fingerprinter.compute(CALL),
  );
});

test.run();
