/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/daemon/unbounded_answer_test.js > TAP > an unbounded answer is terminated towards the caller and at the target > results 1`] = `
Array [
  "over a link, caller reads on: target closed in time, bytes bounded, caller's connection closed",
  "same machine, caller reads on: target closed in time, bytes bounded, caller's connection closed",
  "over a link, caller stops reading: target closed in time, bytes bounded, caller's connection closed",
  "same machine, caller stops reading: target closed in time, bytes bounded, caller's connection closed",
  "over a link, caller leaves: target closed in time, bytes bounded, caller's connection closed",
  "same machine, caller leaves: target closed in time, bytes bounded, caller's connection closed",
]
`
