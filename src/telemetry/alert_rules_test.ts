import { readFile } from "node:fs/promises";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { DaemonMetrics } from "./metrics.ts";

/** Time within which an alert has to fire, in seconds. */
const MAX_DELAY_S = 60;
/** Interval of scrapes, and of evaluations of the rules, in seconds. */
const INTERVAL_S = 15;

const RULES = "deploy/alerts/celeryhollow.yaml";

interface AlertRule {
  readonly name: string;
  readonly fields: ReadonlyMap<string, string>;
}

const test = suite("alert rules");

/** Reads the rules from lines of the form `field: value`, each rule beginning with `- alert`. */
async function readRules(): Promise<AlertRule[]> {
  const rules: { name: string; fields: Map<string, string> }[] = [];
  for (const line of (await readFile(RULES, "utf8")).split("\n")) {
    const [, dash, name = "", value = ""] =
      /^ +(- )?(\w+):(?: (.*))?$/.exec(line) ?? [];
    if (dash && name === "alert") {
      rules.push({ name: value, fields: new Map() });
    } else {
      rules.at(-1)?.fields.set(name, value);
    }
  }
  return rules;
}

function getField({ name, fields }: AlertRule, field: string): string {
  const value = fields.get(field) ?? "";
  assert.ok(value !== "", `${name} has no ${field}`);
  return value;
}

/** Sum of the times that a rule waits for, besides scrape and evaluation, in seconds. */
function sumWaits(rule: AlertRule): number {
  const expression = getField(rule, "expr");
  const [, thresholdS = "0"] = /_seconds > (\d+)$/.exec(expression) ?? [];
  const [, offsetS = "0"] = /offset (\d+)s/.exec(expression) ?? [];
  const [, holdS = "0"] = /^(\d+)s$/.exec(rule.fields.get("for") ?? "") ?? [];
  return Number(thresholdS) + Number(offsetS) + Number(holdS);
}

// A rule on a metric that is renamed never fires, and nothing tells.
test("each alert is about metrics and labels that daemons export", async () => {
  const exported = new Map(
    (await new DaemonMetrics().registry.getMetricsAsArray()).map((metric) => [
      metric.name,
      (metric as unknown as { labelNames: string[] }).labelNames,
    ]),
  );
  for (const rule of await readRules()) {
    const expression = getField(rule, "expr");
    const names = expression.match(/celeryhollow_\w+/g) ?? [];
    assert.ok(names.length > 0, rule.name);
    for (const name of names) {
      assert.ok(exported.has(name), `${rule.name} names ${name}`);
    }
    const selectors = expression.matchAll(/(celeryhollow_\w+)\{(\w+)/g);
    for (const [, name = "", label = ""] of selectors) {
      assert.ok(exported.get(name)?.includes(label), `${name} by ${label}`);
    }
  }
});

test("the four alerts fire within a minute and lead to a section of the operators' page", async () => {
  const rules = await readRules();
  assert.is(rules.length, 4);
  for (const rule of rules) {
    assert.ok(sumWaits(rule) + 2 * INTERVAL_S <= MAX_DELAY_S, rule.name);
    getField(rule, "summary");
    getField(rule, "severity");
    const [page = "", anchor] = getField(rule, "runbook").split("#");
    const headings = (await readFile(page, "utf8")).match(/^#+ .*$/gm) ?? [];
    const anchors = headings.map((heading) =>
      heading.replace(/^#+ /, "").toLowerCase().replace(/[^\w -]/g, "")
        .replaceAll(" ", "-")
    );
    assert.ok(anchors.includes(anchor ?? ""), `${page} has no ${anchor}`);
  }
});

test.run();
