import type { LoadResult, SecondResult } from "./result.js";

const width = 900;
const height = 200;
const margin = 40;

function formatLine(
    seconds: readonly SecondResult[],
    read: (second: SecondResult) => number,
    maxValue: number,
    colour: string,
): string {
    const stepX = (width - 2 * margin) / Math.max(1, seconds.length - 1);
    const points = seconds.map((second, index) => {
        const y = height - margin - read(second) / maxValue * (height - 2 * margin);
        return `${(margin + index * stepX).toFixed(1)},${y.toFixed(1)}`;
    });
    return `<polyline fill="none" stroke="${colour}" points="${points.join(" ")}"/>`;
}

function formatChart(
    title: string,
    seconds: readonly SecondResult[],
    lines: readonly { read: (second: SecondResult) => number; colour: string; label: string; }[],
): string {
    const maxValue = Math.max(1, ...seconds.flatMap(second => lines.map(line => line.read(second))));
    const labels = lines.map((line, index) =>
        `<text x="${margin + 150 * (index + 2)}" y="20" fill="${line.colour}">${line.label}</text>`
    );
    return `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" font-family="sans-serif" font-size="12">`
        + `<text x="${margin}" y="20">${title}</text>${labels.join("")}`
        + `<text x="2" y="${margin}">${maxValue.toFixed(0)}</text><text x="2" y="${height - margin}">0</text>`
        + `<text x="${width - margin}" y="${height - 10}">${seconds.length} s</text>`
        + lines.map(line => formatLine(seconds, line.read, maxValue, line.colour)).join("")
        + "</svg>";
}

/** Formats an HTML page with two charts over time: complete and failed requests, and the time to the first byte. */
export function formatPlot(result: LoadResult): string {
    const responses = formatChart("responses per second", result.seconds, [
        { read: second => second.complete, colour: "steelblue", label: "complete" },
        { read: second => second.failed, colour: "crimson", label: "failed" },
    ]);
    const latency = formatChart("first byte, ms", result.seconds, [{
        read: second => second.firstByteP95,
        colour: "darkorange",
        label: "p95",
    }]);
    return `<!doctype html><meta charset="utf-8"><title>radishreel-load</title>${responses}<br>${latency}\n`;
}
