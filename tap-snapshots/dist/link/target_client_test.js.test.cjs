/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/link/target_client_test.js > TAP > TargetClient.run() returns only complete answers to its own call > results 1`] = `
Array [
  "whole: 200 good",
  "a second answer after the first: 200 good",
  "the answer to another call: no answer: garbled",
  "a success without a signature: no answer: garbled",
  "truncated before its length: no answer: broken",
  "without a length, ended: 200 to the end",
  "without a length, reset: no answer: broken",
  "without a length, reset along with its bytes: no answer: broken",
  "truncated chunks: no answer: broken",
  "truncated chunks on a connection that was to close: no answer: broken",
  "no answer at all: no answer: broken",
  "reset at once: no answer: broken",
]
`
