/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/guard/admission_queue_test.js > TAP > queue.acquire() drops a call whose caller has disconnected > the next call runs 1`] = `
Array [
  "0 ms a runs",
  "0 ms b runs",
  "0 ms gone refused cancelled",
  "0 ms d runs",
]
`

exports[`dist/guard/admission_queue_test.js > TAP > queue.acquire() queues calls up to its limits > five calls, one slot released 1`] = `
Array [
  "0 ms a runs",
  "0 ms b runs",
  "0 ms e refused target-busy",
  "0 ms c runs",
  "50 ms d refused target-busy",
]
`

exports[`dist/guard/admission_queue_test.js > TAP > queue.acquire() refuses a call that cannot meet its deadline > refused at once 1`] = `
Array [
  "0 ms a runs",
  "0 ms b runs",
  "0 ms late refused target-busy",
]
`

exports[`dist/guard/admission_queue_test.js > TAP > queue.acquire() refuses the lowest weight first > the highest weight runs next 1`] = `
Array [
  "0 ms a runs",
  "0 ms b runs",
  "0 ms low refused target-busy",
  "0 ms high runs",
  "50 ms middle refused target-busy",
]
`
