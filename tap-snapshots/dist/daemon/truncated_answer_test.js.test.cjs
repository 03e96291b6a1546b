/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/daemon/truncated_answer_test.js > TAP > an answer that breaks off never reaches the caller as complete > results 1`] = `
Array [
  "length, 100 bytes, close: nothing sent: failure",
  "length, 100 bytes, reset: nothing sent: failure",
  "length, 100 bytes, silence: nothing sent: failure",
  "length, 200000 bytes, close: nothing sent: failure, from in the body: 200 cut",
  "length, 200000 bytes, reset: nothing sent: failure, from in the body: 200 cut",
  "length, 200000 bytes, silence: nothing sent: failure, from in the body: failure over a link, 200 cut on its machine",
  "chunks, 100 bytes, close: nothing sent: failure",
  "chunks, 100 bytes, reset: nothing sent: failure",
  "chunks, 100 bytes, silence: nothing sent: failure",
  "chunks, 200000 bytes, close: nothing sent: failure, from in the body: 200 cut",
  "chunks, 200000 bytes, reset: nothing sent: failure, from in the body: 200 cut",
  "chunks, 200000 bytes, silence: nothing sent: failure, from in the body: failure over a link, 200 cut on its machine",
  "connection, 100 bytes, close: nothing sent: failure",
  "connection, 100 bytes, reset: nothing sent: failure",
  "connection, 100 bytes, silence: nothing sent: failure",
  "connection, 200000 bytes, close: nothing sent: failure",
  "connection, 200000 bytes, reset: nothing sent: failure, from in the body: 200 cut",
  "connection, 200000 bytes, silence: nothing sent: failure, from in the body: failure over a link, 200 cut on its machine",
]
`

exports[`dist/daemon/truncated_answer_test.js > TAP > an answer whose daemons end in the middle of it is not complete > results 1`] = `
Array [
  "entry killed: 200 cut",
  "guard killed: 200 cut",
]
`
