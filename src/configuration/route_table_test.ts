import { test } from "uvu";
import * as assert from "uvu/assert";
import { RandomSource } from "../time/mod.ts";
import { createTestConfiguration } from "../testing/create_test_configuration.ts";
import { compileConfiguration } from "./compile_configuration.ts";
import { findRequest } from "./find_request.ts";
import { findRoute } from "./find_route.ts";
import { RouteTable } from "./route_table.ts";
import type { RoutableRequest } from "./route_table.ts";
import { validateConfigurationDocument } from "./validate_configuration_document.ts";

const [REQUEST] = createTestConfiguration().requests;

function createRequests(fields: readonly Partial<RoutableRequest>[]) {
  return fields.map((each, index) => ({
    ...REQUEST!,
    name: `request-${index}`,
    ...each,
  }));
}

function listFindings(fields: readonly Partial<RoutableRequest>[]): string {
  const requests = createRequests(fields);
  const checked = validateConfigurationDocument(
    createTestConfiguration({ requests }),
  );
  return checked.isErr() ? checked.error.message : "";
}

const PLACE = { host: "one.example", pathPrefix: "/a/" };

// Guards against a later route that silently replaces an earlier one.
test("two requests with one host and path prefix are refused with their names and place", () => {
  for (
    const other of [
      { service: "stock" },
      { method: "POST" as const, isRepeatable: false },
      { host: "ONE.example" },
      { host: "one.example:8080" },
    ]
  ) {
    assert.match(
      listFindings([PLACE, { ...PLACE, ...other }]),
      "requests request-0 and request-1 have the same route: /a/ of host one.example",
    );
  }
});

test("requests without a host differ by service, method and path prefix", () => {
  const plain = { pathPrefix: "/a" };
  assert.match(
    listFindings([plain, plain]),
    "request-0 and request-1 have the same route: GET /a of service round-planning",
  );
  for (const other of [{ service: "stock" }, { pathPrefix: "/a/" }, PLACE]) {
    assert.is(listFindings([plain, { ...plain, ...other }]), "");
  }
});

// Guards against hosts that a check takes for different and a look-up for the same.
test("a host matches whatever its case and port in the configuration and the request", () => {
  // A port may be empty (RFC 3986, section 3.2.3).
  for (
    const host of [
      ...["one.example", "One.Example", "one.example:80"],
      "one.example:",
    ]
  ) {
    const requests = createRequests([{ ...PLACE, host }]);
    const compiled = compileConfiguration(
      createTestConfiguration({ requests }),
      1,
    );
    for (
      const asked of ["one.example", "ONE.example:8304", "one.example:"]
    ) {
      const target = { host: asked, path: "/a/1" };
      assert.is(findRoute(compiled, target)?.name, "request-0");
    }
  }
});

test("a request with a host is not found by its service, and one without a host not by a host", () => {
  const requests = createRequests([PLACE, { pathPrefix: "/b/" }]);
  const compiled = compileConfiguration(
    createTestConfiguration({ requests }),
    1,
  );
  const find = (path: string) =>
    findRequest(compiled, { service: "round-planning", method: "GET", path })
      ?.name;
  assert.is(find("/a/1"), undefined);
  assert.is(find("/b/1"), "request-1");
  assert.is(findRoute(compiled, { ...PLACE, path: "/b/1" }), undefined);
});

// Compares both look-ups with a search through all entries.
test("look-ups find the longest prefix of random tables (seed 4101)", () => {
  const random = new RandomSource(4101);
  const choose = (texts: readonly string[]) => random.choose(texts)!;
  const createPath = () =>
    `/${
      Array.from({ length: random.nextInteger(3) }, () =>
        choose(["a/", "b/", "ab/"])).join("")
    }`;
  for (let round = 0; round < 200; round += 1) {
    const requests = createRequests(
      Array.from({ length: 12 }, () => ({
        pathPrefix: createPath(),
        service: choose(["x", "y"]),
        ...random.nextInteger(2) === 0 && { host: choose(["g", "h"]) },
      })),
    );
    const table = new RouteTable(requests);
    const hidden = new Set(table.conflicts.map(({ hiddenName }) => hiddenName));
    const used = requests.filter(({ name }) => !hidden.has(name));
    const path = `${createPath()}${choose(["", "a", "b?c=/a/"])}`;
    const [pathname = ""] = path.split("?", 1);
    const findLongest = (candidates: typeof used) =>
      candidates.filter(({ pathPrefix }) => pathname.startsWith(pathPrefix))
        .sort((left, right) => right.pathPrefix.length - left.pathPrefix.length)
        .at(0)?.name;
    assert.is(
      table.findByHost("g", path)?.name,
      findLongest(used.filter(({ host }) => host === "g")),
    );
    assert.is(
      table.findByService({ service: "x", method: "GET", path })?.name,
      findLongest(
        used.filter(({ host, service }) =>
          host === undefined && service === "x"
        ),
      ),
    );
  }
});

test.run();
