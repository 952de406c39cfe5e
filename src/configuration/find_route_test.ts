import { test } from "uvu";
import * as assert from "uvu/assert";
import { createTestConfiguration } from "../testing/create_test_configuration.ts";
import { compileConfiguration } from "./compile_configuration.ts";
import { findRoute } from "./find_route.ts";

function createConfiguration(prefixes: readonly string[]) {
  const document = createTestConfiguration();
  const [request] = document.requests;
  if (!request) {
    throw new Error("the test configuration has no request");
  }
  const requests = prefixes.map((pathPrefix) => ({
    ...request,
    ...{ name: pathPrefix, host: "app.example", pathPrefix },
  }));
  return compileConfiguration({ ...document, requests }, 1);
}

function find(path: string, host = "app.example"): string | undefined {
  const configuration = createConfiguration(["/a/", "/a/b/", "/c/d/"]);
  return findRoute(configuration, { host, path })?.name;
}

test("the longest matching prefix that ends in a slash is found", () => {
  assert.is(find("/a/x"), "/a/");
  assert.is(find("/a/b/x/y?z=/c/d/"), "/a/b/");
  assert.is(find("/a/b"), "/a/");
  assert.is(find("/c/d/"), "/c/d/");
});

test("unmatched hosts and paths have no route", () => {
  for (const path of ["/", "/a", "/ab/x", "/c/x", "", "x", "/?/a/"]) {
    assert.is(find(path), undefined, path);
  }
  assert.is(find("/a/x", "other.example"), undefined);
});

test.run();
