/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/guard/limits_test.js > TAP > limit.record() adapts to a target that slows down and recovers > aimd 1`] = `
Array [
  "5 ms: 12",
  "5 ms: 12",
  "50 ms: 1",
  "50 ms: 1",
  "5 ms: 6",
  "5 ms: 9",
]
`

exports[`dist/guard/limits_test.js > TAP > limit.record() adapts to a target that slows down and recovers > fixed 1`] = `
Array [
  "5 ms: 12",
  "5 ms: 12",
  "50 ms: 12",
  "50 ms: 12",
  "5 ms: 12",
  "5 ms: 12",
]
`

exports[`dist/guard/limits_test.js > TAP > limit.record() adapts to a target that slows down and recovers > gradient 1`] = `
Array [
  "5 ms: 12",
  "5 ms: 12",
  "50 ms: 6",
  "50 ms: 6",
  "5 ms: 9",
  "5 ms: 12",
]
`

exports[`dist/guard/limits_test.js > TAP > quarantine.recordCrash() blocks only fingerprints without recent answers > blocked 1`] = `
Array [
  "crash of a: none blocked",
  "crash of a: none blocked",
  "crash of b: poison blocked",
  "the neighbour was answered in between: poison blocked",
  "a minute later: none blocked",
]
`

exports[`dist/guard/limits_test.js > TAP > warmUp.recordAnswer() raises the cold limit only for answers in time > limits 1`] = `
Array [
  "during the cold time: 1",
  "in time: 1",
  "in time: 1",
  "in time: 2",
  "in time: 2",
  "in time: 2",
  "in time: 2",
  "in time: 2",
  "in time: 2",
  "in time: 3",
  "late: 1",
  "in time: 1",
  "restarted: 1",
]
`
