/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/daemon/lame_duck_test.js > TAP > daemon.drain() accepts calls during the lame-duck period, then refuses them > calls 1`] = `
Array [
  "at the start of the drain: answered, stage leaving",
  "after the lame-duck period: not-run leaving, stage leaving",
]
`
