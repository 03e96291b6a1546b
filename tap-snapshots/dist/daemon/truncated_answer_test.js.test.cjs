/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/daemon/truncated_answer_test.js > TAP > an answer that breaks off never reaches the caller as complete > results 1`] = `
Array [
  "length, 100 bytes, close: nothing sent: not complete",
  "length, 100 bytes, reset: nothing sent: not complete",
  "length, 100 bytes, silence: nothing sent: not complete",
  "length, 200000 bytes, close: nothing sent: not complete",
  "length, 200000 bytes, reset: nothing sent: not complete",
  "length, 200000 bytes, silence: nothing sent: not complete",
  "chunks, 100 bytes, close: nothing sent: not complete",
  "chunks, 100 bytes, reset: nothing sent: not complete",
  "chunks, 100 bytes, silence: nothing sent: not complete",
  "chunks, 200000 bytes, close: nothing sent: not complete",
  "chunks, 200000 bytes, reset: nothing sent: not complete",
  "chunks, 200000 bytes, silence: nothing sent: not complete",
  "connection, 100 bytes, close: nothing sent: not complete",
  "connection, 100 bytes, reset: nothing sent: not complete",
  "connection, 100 bytes, silence: nothing sent: not complete",
  "connection, 200000 bytes, close: nothing sent: not complete",
  "connection, 200000 bytes, reset: nothing sent: not complete",
  "connection, 200000 bytes, silence: nothing sent: not complete",
]
`

exports[`dist/daemon/truncated_answer_test.js > TAP > an answer whose daemons end in the middle of it is not complete > results 1`] = `
Array [
  "entry killed: 200 cut",
  "guard killed: 200 cut",
]
`
