/** Reads JSON with comments, validates it against a schema and reports each mistake with its position. */
export { type FileMistake, formatMistake, parseJsonc } from "./parse.js";
export { loadSettings, readJsonc } from "./read.js";
