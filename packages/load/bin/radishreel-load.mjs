#!/usr/bin/env node
// Committed to the repository, so that npm can link it before the build.
import "../dist/src/main.js";
