/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/platform/restored_store_test.js > TAP > a change after a restore is in force, and none before is undone > routes in force 1`] = `
Array [
  "version 11: /v11/",
  "version 12: /v12/",
  "restored to version 11: /v12/",
  "a daemon that knows it from a peer: /v12/",
  "not written again for a while: /v12/",
  "version 12 written again: /v12/",
  "version 13: /v13/",
]
`

exports[`dist/platform/restored_store_test.js > TAP > a restore brings back no target that has left, and drops none that has joined > lists 1`] = `
Array [
  "before: 10.1.0.1/stays live, 10.1.0.2/leaves live, 10.1.0.3/left live, 10.1.0.4/replaced live",
  "changed since: 10.1.0.1/stays live, 10.1.0.2/leaves leaving, 10.1.0.4/joined live, 10.1.0.5/new live",
  "restored: 10.1.0.1/stays live, 10.1.0.2/leaves leaving, 10.1.0.4/joined lapsed, 10.1.0.5/new lapsed",
  "a daemon that starts now, with what a peer has in force: 10.1.0.1/stays live, 10.1.0.2/leaves leaving, 10.1.0.4/joined lapsed, 10.1.0.5/new lapsed",
  "two have written again: 10.1.0.1/stays live, 10.1.0.2/leaves leaving, 10.1.0.4/joined lapsed, 10.1.0.5/new live",
  "a third has not: 10.1.0.1/stays live, 10.1.0.2/leaves leaving, 10.1.0.4/joined lapsed, 10.1.0.5/new live",
  "settled: 10.1.0.1/stays live, 10.1.0.2/leaves leaving, 10.1.0.4/joined live, 10.1.0.5/new live",
]
`

exports[`dist/platform/restored_store_test.js > TAP > an evacuation that a restore has lost or brought back still holds > failure domains out of service 1`] = `
Array [
  "sur-a is evacuated: /v11/ without sur-a",
  "sur-a is back, centro-a is evacuated: /v11/ without centro-a",
  "restored: /v11/ without centro-a,sur-a",
  "written again: /v11/ without centro-a,sur-a",
  "settled: /v11/ without centro-a",
]
`
