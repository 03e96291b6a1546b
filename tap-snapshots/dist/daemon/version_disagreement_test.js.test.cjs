/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/daemon/version_disagreement_test.js > TAP > a call is not refused as unknown by a guard that has just started > results 1`] = `
Array [
  "/boards/3: not-run not-ready runs=0",
  "/entries: not-run not-ready runs=0",
]
`

exports[`dist/daemon/version_disagreement_test.js > TAP > a call is not refused as unknown by a guard that lacks the newest version > results 1`] = `
Array [
  "/boards/3: answered  runs=1",
  "/entries: answered  runs=1",
]
`

exports[`dist/daemon/version_disagreement_test.js > TAP > a call is not refused as unknown when its route moves while it is in flight > results 1`] = `
Array [
  "/boards/3: answered  runs=1",
  "/entries: answered  runs=1",
]
`
