import { suite } from "uvu";
import * as assert from "uvu/assert";
import { LATE_READ_MS, USUAL_UNREAD_MS } from "../event_loop/mod.ts";
import type { EventLoopWatch } from "../event_loop/mod.ts";
import { DaemonMetrics } from "../telemetry/mod.ts";
import { ManualClock } from "../testing/manual_clock.ts";
import { RequestIntake } from "./mod.ts";
import type { IntakeRequest } from "./mod.ts";

const test = suite("request intake");

const LATE_MS = 2_000;
const MAX_POLLS = 1_000;

/** An intake whose event loop is advanced by hand. */
class IntakeFixture {
  readonly clock = new ManualClock();
  readonly eventLoop = { maxUnreadMs: 0, acceptQueue: { isBusy: false } };
  /** What happened, oldest first. */
  readonly events: string[] = [];
  readonly waits = new Map<string, number>();
  readonly intake: RequestIntake;
  /** Times after which refused callers were told to return, in milliseconds. */
  readonly retryAfterMs: number[] = [];
  /** Time that beginning a request takes, in milliseconds. */
  beginMs = 0;
  #callbacks: (() => void)[] = [];

  constructor() {
    this.intake = new RequestIntake({
      clock: this.clock,
      eventLoop: this.eventLoop as EventLoopWatch,
      metrics: new DaemonMetrics(),
      afterPoll: (callback) => this.#callbacks.push(callback),
    });
  }

  /** Submits a request, and returns what makes its caller leave. */
  submit(
    name: string,
    { timeLimitMs = 4_000, rank = 1 } = {},
  ): { leave: () => void } {
    let hasLeft = false;
    const request: IntakeRequest = {
      timeLimitMs,
      findRank: () => rank,
      isAbandoned: () => hasLeft,
      begin: (waitedMs) => {
        this.events.push(name);
        this.waits.set(name, waitedMs);
        this.clock.advance(this.beginMs);
      },
      refuse: (retryAfterMs) => {
        this.events.push(`${name} refused`);
        this.retryAfterMs.push(retryAfterMs);
      },
      drop: () => this.events.push(`${name} dropped`),
    };
    this.intake.submit(request);
    return { leave: () => hasLeft = true };
  }

  /** Polls once: everything that waits for the poll is called. */
  poll(): void {
    const callbacks = this.#callbacks;
    this.#callbacks = [];
    callbacks.forEach((callback) => callback());
  }

  /** Polls until nothing waits for it; returns the number of polls. */
  pollAll(): number {
    let polls = 0;
    while (this.#callbacks.length > 0 && polls < MAX_POLLS) {
      this.poll();
      polls += 1;
    }
    return polls;
  }
}

test("without a delay a request begins at once, and nothing waits for a poll", () => {
  const fixture = new IntakeFixture();
  fixture.eventLoop.maxUnreadMs = LATE_READ_MS - 1;
  fixture.submit("first");
  fixture.submit("second");
  assert.equal(fixture.events, ["first", "second"]);
  assert.is(fixture.waits.get("first"), 0);
  assert.is(fixture.pollAll(), 0);
});

test("after a delay nothing begins before the sockets have been polled once more", () => {
  const fixture = new IntakeFixture();
  fixture.eventLoop.maxUnreadMs = LATE_MS;
  const gone = fixture.submit("gone");
  fixture.submit("waits");
  fixture.poll();
  assert.equal(fixture.events, []);
  gone.leave();
  // What a later poll reads is checked once more as well.
  const late = fixture.submit("late");
  fixture.poll();
  late.leave();
  fixture.pollAll();
  assert.equal(fixture.events.sort(), [
    "gone dropped",
    "late dropped",
    "waits",
  ]);
});

test("the time that a request may have waited unread is deducted, but at most half of its time", () => {
  const fixture = new IntakeFixture();
  fixture.eventLoop.maxUnreadMs = 700;
  fixture.submit("long", { timeLimitMs: 4_000 });
  fixture.submit("short", { timeLimitMs: 600 });
  fixture.pollAll();
  assert.is(fixture.waits.get("long"), 700 - USUAL_UNREAD_MS);
  assert.is(fixture.waits.get("short"), 300);
});

test("a backlog is begun in turns of bounded length, the most important first and of these the newest", () => {
  const fixture = new IntakeFixture();
  fixture.eventLoop.maxUnreadMs = LATE_MS;
  fixture.beginMs = 5;
  for (let index = 0; index < 8; index += 1) {
    fixture.submit(`minor${index}`, { rank: 2 });
    fixture.submit(`major${index}`, { rank: 1 });
  }
  fixture.poll();
  fixture.poll();
  fixture.poll();
  assert.equal(fixture.events, ["major7", "major6", "major5", "major4"]);
  fixture.eventLoop.maxUnreadMs = 0;
  fixture.submit("nested", { rank: 0 });
  fixture.pollAll();
  assert.ok(fixture.events.indexOf("nested") <= 9);
  assert.is(fixture.events.length, 17);
  assert.ok(
    fixture.events.indexOf("minor7") > fixture.events.indexOf("major0"),
  );
});

test("what cannot begin within a quarter of its time is refused, and its callers return one after the other", () => {
  const fixture = new IntakeFixture();
  fixture.eventLoop.maxUnreadMs = LATE_MS;
  fixture.beginMs = 40;
  for (let index = 0; index < 60; index += 1) {
    fixture.submit(`request${index}`, { timeLimitMs: 1_000 });
  }
  fixture.pollAll();
  const refused = fixture.events.filter((event) => / refused$/.test(event));
  const begun = fixture.events.length - refused.length;
  assert.is(fixture.events.length, 60);
  assert.ok(begun >= 5 && begun <= 8, `${begun} begun`);
  assert.is(fixture.events[0], "request59");
  const { retryAfterMs } = fixture;
  assert.ok(retryAfterMs[0]! > 0);
  assert.ok(
    retryAfterMs.every((delayMs, index) =>
      index === 0 || delayMs > retryAfterMs[index - 1]!
    ),
  );
  assert.is(fixture.intake.waitingCount, 0);
});

// Guards against a read with many calls that are all begun before the cancellations behind them are read.
test("of the requests of one read a few begin at once, and the others once the sockets have been polled again", async () => {
  const fixture = new IntakeFixture();
  const callers = Array.from(
    { length: 20 },
    (_, index) => fixture.submit(`request${index}`),
  );
  assert.is(fixture.events.length, 8);
  callers[19]?.leave();
  fixture.pollAll();
  assert.is(fixture.events.length, 20);
  assert.ok(fixture.events.includes("request19 dropped"));
  // The next read may begin as many at once.
  await Promise.resolve();
  fixture.submit("next");
  assert.is(fixture.events.at(-1), "next");
});

test("while connections wait to be accepted, they are accepted for a bounded time first", () => {
  const fixture = new IntakeFixture();
  fixture.eventLoop.maxUnreadMs = LATE_MS;
  fixture.eventLoop.acceptQueue.isBusy = true;
  fixture.submit("first");
  for (let poll = 0; poll < 10; poll += 1) {
    fixture.poll();
    fixture.clock.advance(1);
  }
  assert.equal(fixture.events, []);
  fixture.clock.advance(20);
  fixture.pollAll();
  assert.equal(fixture.events, ["first"]);
});

test.run();
