/**
 * Renders the results of experiments as a self-contained HTML page.
 */

import { html, raw } from "hono/html";
import type { ExperimentResult, TableRow } from "../experiment.ts";
import { renderPlot } from "./render_plot.ts";

/** Experiment with its result. */
export interface ReportedExperiment {
  readonly name: string;
  readonly description: string;
  readonly result: ExperimentResult;
}

/** Hardware, version and time of the measurements. */
export interface ReportEnvironment {
  readonly machine: string;
  readonly commit: string;
  readonly startedAt: string;
}

const STYLE =
  "body{font-family:sans-serif;max-width:60em;margin:2em auto}table{border-collapse:collapse;font-size:.85em}td,th{border:1px solid #ccc;padding:.2em .5em;text-align:right}pre{white-space:pre-wrap}";

/**
 * Creates the report page with the plots, the result table and the metrics of each
 * experiment.
 *
 * @param environment - Hardware, commit and start time
 * @param experiments - Experiments with their results
 * @returns The HTML document
 *
 * @example
 * await writeFile("report/index.html", await createReportPage(environment, experiments));
 */
export async function createReportPage(
  environment: ReportEnvironment,
  experiments: readonly ReportedExperiment[],
): Promise<string> {
  const sections = await Promise.all(experiments.map(createSection));
  const { machine, commit, startedAt } = environment;
  const page = html`
    <!doctype html>
    <html lang="en">
      <head>
        <meta charset="utf-8">
        <title>celeryhollow measurements</title>
        <style>${raw(STYLE)}</style>
      </head>
      <body>
    <h1>celeryhollow measurements</h1>
    <p>${machine}; commit ${commit}; ${startedAt}</p>
    ${sections}
      </body>
    </html>
  `;
  return String(await page);
}

async function createSection(
  { name, description, result }: ReportedExperiment,
) {
  const plots = await Promise.all((result.plots ?? []).map(renderPlot));
  return html`<h2>${name}</h2>
<p>${description}</p>
${plots.map((svg) => raw(svg))}
${createTable(result.rows)}
<pre>${JSON.stringify(result.fields, null, 2)}</pre>`;
}

function createTable(rows: readonly TableRow[]) {
  const columns = [...new Set(rows.flatMap((row) => Object.keys(row)))];
  return html`<table>
<tr>${columns.map((column) => html`<th>${column}</th>`)}</tr>
${
    rows.map((row) =>
      html`<tr>${
        columns.map((column) => html`<td>${row[column] ?? ""}</td>`)
      }</tr>`
    )
  }
</table>`;
}
