import { Decoder } from "cbor-x";
import * as fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { CborWriter } from "./cbor_writer.ts";

// The decoder of every build of the daemon, so that old ones read what this one writes.
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

const VALUES = fc.letrec((tie) => ({
  value: fc.oneof(
    fc.string({ unit: "binary", maxLength: 300 }),
    fc.string({ maxLength: 40 }),
    fc.integer(),
    fc.double({ noNaN: true }),
    fc.nat({ max: Number.MAX_SAFE_INTEGER }),
    fc.boolean(),
    fc.constant(null),
    fc.uint8Array({ maxLength: 400 }),
    fc.array(tie("value"), { maxLength: 30 }),
    fc.dictionary(fc.string({ minLength: 1 }), tie("value"), {
      maxKeys: 30,
      noNullPrototype: true,
    }),
  ),
})).value;

test("cbor-x decodes what the writer encodes", () => {
  const writer = new CborWriter();
  fc.assert(
    fc.property(VALUES, (value) => {
      const encoded = writer.encode(value, 0);
      assert.equal(toPlain(decoder.decode(encoded)), toPlain(value));
    }),
    { seed: 7, numRuns: 500 },
  );
});

test("lengths and numbers at the limits of each head are decoded", () => {
  const writer = new CborWriter();
  for (const limit of [23, 24, 255, 256, 65_535, 65_536, 4_294_967_295]) {
    for (const number of [limit, limit + 1, -limit, -limit - 2]) {
      assert.is(decoder.decode(writer.encode(number, 0)), number);
    }
  }
  for (const length of [7, 8, 23, 24, 85, 86, 255, 256, 65_535, 65_536]) {
    for (const letter of ["a", "é", "€"]) {
      const text = letter.repeat(length);
      assert.is(decoder.decode(writer.encode(text, 0)), text);
    }
  }
});

test("fields that are undefined are left out, and bytes before the value are reserved", () => {
  const encoded = new CborWriter().encode({ a: 1, b: undefined }, 4);
  assert.equal(decoder.decode(encoded.subarray(4)), { a: 1 });
});

test("a value that needed a large buffer is encoded, and so are later ones", () => {
  const writer = new CborWriter();
  const large = { body: new Uint8Array(300_000).fill(7), end: "€" };
  assert.equal(
    toPlain(decoder.decode(writer.encode(large, 0))),
    toPlain(large),
  );
  assert.is(decoder.decode(writer.encode("after", 0)), "after");
});

/** Converts bytes to lists, as decoded ones are of another class. */
function toPlain(value: unknown): unknown {
  if (value instanceof Uint8Array) {
    return { bytes: [...value] };
  }
  if (Array.isArray(value)) {
    return value.map(toPlain);
  }
  return value !== null && typeof value === "object"
    ? Object.fromEntries(
      Object.entries(value).map(([key, item]) => [key, toPlain(item)]),
    )
    : value;
}

test.run();
