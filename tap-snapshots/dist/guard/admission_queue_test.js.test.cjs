/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/guard/admission_queue_test.js > TAP > gate.enter() forgets a caller that left > the next one runs 1`] = `
Array [
  "0 ms a runs",
  "0 ms b runs",
  "0 ms gone refused cancelled",
  "0 ms d runs",
]
`

exports[`dist/guard/admission_queue_test.js > TAP > gate.enter() queues up to its bounds > five arrivals, one leaves 1`] = `
Array [
  "0 ms a runs",
  "0 ms b runs",
  "0 ms e refused target-busy",
  "0 ms c runs",
  "50 ms d refused target-busy",
]
`

exports[`dist/guard/admission_queue_test.js > TAP > gate.enter() refuses what cannot meet its deadline > refused at once 1`] = `
Array [
  "0 ms a runs",
  "0 ms b runs",
  "0 ms late refused target-busy",
]
`

exports[`dist/guard/admission_queue_test.js > TAP > gate.enter() sheds the lowest weight first > the highest runs next 1`] = `
Array [
  "0 ms a runs",
  "0 ms b runs",
  "0 ms low refused target-busy",
  "0 ms high runs",
  "50 ms middle refused target-busy",
]
`
