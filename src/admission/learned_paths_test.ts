import { test } from "uvu";
import * as assert from "uvu/assert";
import { ManualClock } from "../testing/manual_clock.ts";
import { LearnedPaths } from "./learned_paths.ts";

test("lists the services that were seen recently", () => {
  const clock = new ManualClock();
  const paths = new LearnedPaths(clock);
  paths.record("rounds", "ledger");
  clock.advance(50_000);
  paths.recordLoads("rounds", [{
    service: "stock",
    ...{ inFlight: 1, queued: 0, limit: 4, admitLevel: 0.5 },
  }]);
  assert.equal(paths.list("rounds", undefined), ["ledger", "stock"]);
  assert.equal(paths.list("other", undefined), []);
  clock.advance(20_000);
  assert.equal(paths.list("rounds", undefined), ["stock"]);
});

test.run();
