#!/usr/bin/env node
// Committed, so that it can be linked before the build.
import "../dist/src/main.js";
