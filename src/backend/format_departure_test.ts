import { test } from "uvu";
import * as assert from "uvu/assert";
import { formatDeparture, parseDeparture } from "./format_departure.ts";

test("departures outlast their text", () => {
  for (const instanceId of ["i-1", "10.0.0.1/i-1", "~", "a~b/~c"]) {
    for (const includesEarlier of [undefined, true] as const) {
      const departure = {
        ...{ instanceId, startedAtMs: 1_769_576_915_086 },
        ...includesEarlier && { includesEarlier },
      };
      assert.equal(parseDeparture(formatDeparture(departure)), departure);
    }
  }
});

test("a text that is no departure names none", () => {
  for (const text of ["", "i-1", "i-1/", "i-1/soon", "/5", "i-1/1e400"]) {
    assert.is(parseDeparture(text), undefined, text);
  }
});

test.run();
