#!/usr/bin/env -S node --max-semi-space-size=2
// Committed, so that npm can link the daemon at installation, before the build has made what it loads.
// The flag bounds the heap's young generation. Left alone, it grows with the load to 16 MB a half and stays there: one
// would see a node's resident memory come near its limit of 128 MB although it keeps no more state.
import "../lib/main.js";
