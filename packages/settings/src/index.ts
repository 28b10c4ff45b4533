/** JSON with comments, checked against a schema, with the position of every mistake. */
export { type FileMistake, formatMistake, parseJsonc } from "./parse.js";
export { loadSettings, readJsonc } from "./read.js";
