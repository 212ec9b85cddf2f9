#!/usr/bin/env node
// This file is committed so that npm can link the command during installation, before the build has created main.js.
import "../lib/main.js";
