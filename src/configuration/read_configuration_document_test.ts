import { test } from "uvu";
import * as assert from "uvu/assert";
import VError from "verror";
import type { Configuration } from "../generated/types.ts";
import { createTestConfiguration } from "../testing/create_test_configuration.ts";
import { applyConfigurationPatches } from "./apply_patches.ts";
import { compileConfiguration } from "./compile_configuration.ts";
import { ConfigurationHolder } from "./configuration_holder.ts";
import {
  createConfigurationTransfer,
  readConfigurationTransfer,
} from "./configuration_transfer.ts";
import { digestConfiguration } from "./digest_configuration.ts";
import { createDocumentPatch } from "./document_patch.ts";
import {
  listReadingWarnings,
  readConfigurationDocument,
} from "./read_configuration_document.ts";
import { REFUSAL_REASONS } from "./refusal_reasons.ts";
import { validateConfigurationDocument } from "./validate_configuration_document.ts";

const { classes, requests, services } = createTestConfiguration();
const [FIRST] = requests;

function changeFirst(changes: object): Partial<Configuration> {
  return { requests: [{ ...FIRST!, ...changes }, ...requests.slice(1)] };
}

function createUnknownFields(): Partial<Configuration> {
  const fields = { ...createTestConfiguration(), ...changeFirst({ shade: 1 }) };
  return { ...fields, ...{ palette: { depth: 3 } } };
}

/** What a writer refuses and a reader takes, with a part of the warning. */
const OBJECTIONS: readonly [string, Partial<Configuration>, string][] = [
  ["a call cycle", {
    services: services.map((each) => ({ ...each, calls: ["stock"] })),
  }, "services form a call cycle"],
  ["a repeatable request that reaches a non-repeatable one", {
    ...changeFirst({ method: "POST" }),
  }, "fetch-round is repeatable"],
  ["reservations above the whole", {
    classes: classes.map((each) => ({ ...each, reservedRatio: 0.9 })),
  }, "reserve 2.70"],
  ["reserved names", {
    services: [
      ...services,
      ...["constructor", "__proto__", "hasOwnProperty"]
        .map((name) => ({ name, calls: [] })),
    ],
  }, "service __proto__ has a reserved name"],
  [
    "an unknown class",
    changeFirst({ className: "none" }),
    "unknown class none",
  ],
  ["unknown called services", {
    services: [...services, { name: "a", calls: ["nowhere"] }],
  }, "unknown service nowhere"],
  ["unknown fields of a newer build", createUnknownFields(), "shade"],
  ["a name of 65 characters", changeFirst({ name: "n".repeat(65) }), "64"],
  ["an unknown method", changeFirst({ method: "BREW" }), "/requests/0/method"],
  ["many extra attempts", changeFirst({ retryAllowance: 200 }), "<= 16"],
  ["no requests", { requests: [] }, "/requests"],
  ["10,000 requests", {
    requests: Array.from({ length: 10_000 }, (_, index) => ({
      ...FIRST!,
      ...{ name: `request-${index}`, pathPrefix: `/${index}/` },
    })),
  }, "8000"],
];

// Guards against a version that its writer has accepted and daemons refuse: each
// version is whole, so that no later change would reach them either.
for (const [description, changes, warning] of OBJECTIONS) {
  test(`a reader takes ${description} with a warning, and a writer refuses it`, () => {
    const document = createTestConfiguration(changes);
    const read = readConfigurationDocument(document);
    assert.is(read.isErr() ? read.error.message : "", "");
    assert.match(listReadingWarnings(document).join("; "), warning);
    const written = validateConfigurationDocument(document);
    assert.match(written._unsafeUnwrapErr().message, warning);
    assert.is(compileConfiguration(document, 1).version, 1);
  });

  test(`a peer hands on ${description}`, () => {
    const holder = new ConfigurationHolder();
    holder.replaceIfNewer(createTestConfiguration(changes), 7);
    const bytes = createConfigurationTransfer(holder, 0);
    const received = readConfigurationTransfer(bytes, undefined);
    assert.is(received.isErr() ? received.error.message : "", "");
    assert.is(received._unsafeUnwrap()?.version, 7);
  });
}

/** What nobody takes. */
const ERRORS: readonly [string, unknown, string, readonly string[]][] = [
  ["no document", 7, REFUSAL_REASONS.unreadable, []],
  [
    "a request without a path",
    {
      ...createTestConfiguration(changeFirst({ pathPrefix: undefined })),
    },
    REFUSAL_REASONS.unreadable,
    [],
  ],
  [
    "an unknown service",
    createTestConfiguration(
      changeFirst({ service: "nowhere" }),
    ),
    REFUSAL_REASONS.unknownService,
    ["fetch-round"],
  ],
  [
    "an unknown service of a split",
    createTestConfiguration(
      changeFirst({ weightedServices: [{ service: "nowhere", weight: 1 }] }),
    ),
    REFUSAL_REASONS.unknownService,
    ["fetch-round"],
  ],
  [
    "a deadline above the bound",
    createTestConfiguration(
      changeFirst({ deadlineMs: 600_001 }),
    ),
    REFUSAL_REASONS.timeoutTooLong,
    ["fetch-round"],
  ],
  [
    "two requests for one route",
    createTestConfiguration({
      requests: [FIRST!, { ...FIRST!, name: "twin" }],
    }),
    REFUSAL_REASONS.duplicateRoute,
    ["fetch-round", "twin"],
  ],
  [
    "two requests with one name",
    createTestConfiguration({
      requests: [FIRST!, { ...FIRST!, pathPrefix: "/other" }],
    }),
    REFUSAL_REASONS.duplicateName,
    ["fetch-round"],
  ],
  [
    "a shared key",
    createTestConfiguration({
      accounts: ["a", "b"].map((name) => ({
        name,
        keyDigests: ["k".repeat(43)],
      })),
    }),
    REFUSAL_REASONS.duplicateKey,
    ["a", "b"],
  ],
  [
    "a name that no message has room for",
    createTestConfiguration(
      changeFirst({ name: "n".repeat(257) }),
    ),
    REFUSAL_REASONS.nameTooLong,
    ["n".repeat(257)],
  ],
];

// Guards against a reader that activates what would run requests at the wrong
// place, and against a refusal that does not say for which entry.
for (const [description, document, reason, entries] of ERRORS) {
  test(`a reader and a writer refuse ${description} by name`, () => {
    const error = readConfigurationDocument(document)._unsafeUnwrapErr();
    assert.is(error.name, "ConfigurationInvalid");
    const info = VError.info(error);
    assert.is(info.reason, reason);
    assert.equal(info.entries, entries);
    assert.ok(validateConfigurationDocument(document).isErr());
  });
}

// The patching library drops such keys, and with them the rest of the patch.
test("patches add, change and remove entries with the names of object properties", () => {
  const before = createTestConfiguration();
  const added = ["__proto__", "constructor", "hasOwnProperty", "prototype"]
    .map((name) => ({ name, calls: ["stock"] }));
  const first = { ...before, services: [...before.services, ...added] };
  const second = {
    ...before,
    services: [
      ...before.services,
      ...added.slice(1).map((each) => ({ ...each, calls: [] })),
      { name: "zebra", calls: [] },
    ],
  };
  for (
    const [from, to] of [[before, first], [first, second], [second, before]]
  ) {
    const patch = createDocumentPatch(from!, to!);
    const parsed = JSON.parse(JSON.stringify(patch));
    const applied = applyConfigurationPatches(
      from!,
      [parsed],
      digestConfiguration(to!),
    );
    assert.is(applied.isErr() ? applied.error.message : "", "");
  }
});

test.run();
