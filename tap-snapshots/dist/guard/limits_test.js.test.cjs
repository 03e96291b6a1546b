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

exports[`dist/guard/limits_test.js > TAP > quarantine.record() blocks fingerprints whose crashes outweigh their answers > blocked 1`] = `
Array [
  "answer before any crash: counted ; blocked ",
  "crash a: counted poison,mixed,popular,neighbour; blocked ",
  "answer a0: counted mixed,popular; blocked ",
  "answer a1: counted mixed,popular; blocked ",
  "answer a2: counted mixed,popular; blocked ",
  "answer a3: counted mixed,popular; blocked ",
  "answer a4: counted mixed,popular; blocked ",
  "answer a5: counted popular; blocked ",
  "answer a6: counted popular; blocked ",
  "answer a7: counted popular; blocked ",
  "answer a8: counted popular; blocked ",
  "answer a9: counted popular; blocked ",
  "crash a: counted ; blocked ",
  "answer a0: counted ; blocked ",
  "answer a1: counted ; blocked ",
  "answer a2: counted ; blocked ",
  "answer a3: counted ; blocked ",
  "answer a4: counted ; blocked ",
  "answer a5: counted ; blocked ",
  "answer a6: counted ; blocked ",
  "answer a7: counted ; blocked ",
  "answer a8: counted ; blocked ",
  "answer a9: counted ; blocked ",
  "crash b: counted poison,mixed,popular; blocked poison",
  "answer b0: counted mixed,popular; blocked poison",
  "answer b1: counted mixed,popular; blocked poison",
  "answer b2: counted mixed,popular; blocked poison",
  "answer b3: counted mixed,popular; blocked poison",
  "answer b4: counted mixed,popular; blocked poison",
  "answer b5: counted popular; blocked poison",
  "answer b6: counted popular; blocked poison",
  "answer b7: counted popular; blocked poison",
  "answer b8: counted popular; blocked poison",
  "answer b9: counted popular; blocked poison",
  "crash c: counted mixed,popular; blocked poison,mixed",
  "crash d: counted mixed,popular; blocked poison,mixed,popular",
  "answer of a call that was running: counted mixed,popular; blocked poison,mixed",
  "crash a minute later: counted poison,neighbour; blocked poison,neighbour",
  "crash e: counted popular; blocked poison,neighbour",
  "crash f: counted popular; blocked poison,popular,neighbour",
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
