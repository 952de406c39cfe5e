/**
 * Renders plots as SVG.
 */

import { parse, View } from "vega";
import { compile } from "vega-lite";
import type { TopLevelSpec } from "vega-lite";
import type { Plot } from "../experiment.ts";

const WIDTH_PIXELS = 640;
const HEIGHT_PIXELS = 280;

/**
 * Renders a line chart, with a dashed vertical rule at `markedX` if it is set.
 *
 * @param plot - Plot to render
 * @returns An SVG element
 *
 * @example
 * const svg = await renderPlot(createGoodputPlot("surge", runs));
 */
export async function renderPlot(plot: Plot): Promise<string> {
  const { spec } = compile(createSpecification(plot));
  const view = new View(parse(spec), { renderer: "none" });
  return await view.toSVG();
}

function createSpecification(plot: Plot): TopLevelSpec {
  const { title, xTitle, yTitle, points, markedX } = plot;
  const marked = markedX === undefined ? [] : [{ x: markedX }];
  return {
    title,
    width: WIDTH_PIXELS,
    height: HEIGHT_PIXELS,
    layer: [
      {
        data: { values: [...points] },
        mark: { type: "line", point: true },
        encoding: {
          x: { field: "x", type: "quantitative", title: xTitle },
          y: { field: "y", type: "quantitative", title: yTitle },
          color: { field: "line", type: "nominal", title: null },
        },
      },
      {
        data: { values: marked },
        mark: { type: "rule", strokeDash: [4, 4] },
        encoding: { x: { field: "x", type: "quantitative" } },
      },
    ],
  };
}
