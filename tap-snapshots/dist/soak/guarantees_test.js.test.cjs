/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/soak/guarantees_test.js > TAP > findViolations() finds each kind of violation > a call that crashes its targets 1`] = `
Array []
`

exports[`dist/soak/guarantees_test.js > TAP > findViolations() finds each kind of violation > a call that goes on to crash its targets 1`] = `
Array [
  "crashing-call: 7 runs crashed their targets, 4 of them too late",
]
`

exports[`dist/soak/guarantees_test.js > TAP > findViolations() finds each kind of violation > a call that ran and was answered 1`] = `
Array []
`

exports[`dist/soak/guarantees_test.js > TAP > findViolations() finds each kind of violation > a call that ran twice 1`] = `
Array [
  "at-most-once: call c-1 at 127.1.0.1: ran 2 times",
]
`

exports[`dist/soak/guarantees_test.js > TAP > findViolations() finds each kind of violation > a connection cut close to a fault 1`] = `
Array []
`

exports[`dist/soak/guarantees_test.js > TAP > findViolations() finds each kind of violation > a connection cut while the call ran 1`] = `
Array [
  "planned-stop: call c-1 at 127.1.0.1: ran, and its connection ended without an answer",
]
`

exports[`dist/soak/guarantees_test.js > TAP > findViolations() finds each kind of violation > a refusal of a call that did not run 1`] = `
Array []
`

exports[`dist/soak/guarantees_test.js > TAP > findViolations() finds each kind of violation > a refusal of a call that ran 1`] = `
Array [
  "true-refusal: call c-1 at 127.1.0.1: status 503, ran 1 times",
]
`

exports[`dist/soak/guarantees_test.js > TAP > findViolations() finds each kind of violation > a run in another region 1`] = `
Array [
  "home-regions: call c-1 at 127.1.0.1: ran in ar-sur",
]
`

exports[`dist/soak/guarantees_test.js > TAP > findViolations() finds each kind of violation > a run of a call that no client sent 1`] = `
Array [
  "unchanged: no client sent call c-9",
]
`

exports[`dist/soak/guarantees_test.js > TAP > findViolations() finds each kind of violation > a run under another pool of the caller 1`] = `
Array [
  "unchanged: call c-1 at 127.1.0.1: ran as {\\"callId\\":\\"c-1\\",\\"targetId\\":\\"i-1-1\\",\\"method\\":\\"POST\\",\\"path\\":\\"/result/1\\",\\"callerPool\\":\\"none\\",\\"bodyBytes\\":4,\\"atMs\\":10,\\"isCold\\":false,\\"region\\":\\"ar-centro\\"}",
]
`

exports[`dist/soak/guarantees_test.js > TAP > findViolations() finds each kind of violation > a run with another path 1`] = `
Array [
  "unchanged: call c-1 at 127.1.0.1: ran as {\\"callId\\":\\"c-1\\",\\"targetId\\":\\"i-1-1\\",\\"method\\":\\"POST\\",\\"path\\":\\"/result/2\\",\\"callerPool\\":\\"boards\\",\\"bodyBytes\\":4,\\"atMs\\":10,\\"isCold\\":false,\\"region\\":\\"ar-centro\\"}",
]
`

exports[`dist/soak/guarantees_test.js > TAP > findViolations() finds each kind of violation > a safe call that ran twice 1`] = `
Array []
`

exports[`dist/soak/guarantees_test.js > TAP > findViolations() finds each kind of violation > a truncated answer 1`] = `
Array [
  "whole-answer: call c-1 at 127.1.0.1: signed true, body cut",
]
`

exports[`dist/soak/guarantees_test.js > TAP > findViolations() finds each kind of violation > an answer to another call 1`] = `
Array [
  "whole-answer: call c-1 at 127.1.0.1: signed true, body {\\"callId\\":\\"c-2\\",\\"path\\":\\"/result/1\\"}",
]
`

exports[`dist/soak/guarantees_test.js > TAP > findViolations() finds each kind of violation > an answer without a signature 1`] = `
Array [
  "whole-answer: call c-1 at 127.1.0.1: signed false, body {\\"callId\\":\\"c-1\\",\\"path\\":\\"/result/1\\"}",
]
`

exports[`dist/soak/guarantees_test.js > TAP > findViolations() finds each kind of violation > as many calls as a target that names a rate tolerates 1`] = `
Array []
`

exports[`dist/soak/guarantees_test.js > TAP > findViolations() finds each kind of violation > too many calls at a cold target 1`] = `
Array [
  "cold-rate: cold target i-1-1 got 20 calls in a second",
]
`

exports[`dist/soak/guarantees_test.js > TAP > findViolations() finds each kind of violation > too many calls at a target that names a rate 1`] = `
Array [
  "named-rate: i-1-1 names 2 calls a second and got 18 in 4 s",
]
`

exports[`dist/soak/guarantees_test.js > TAP > findViolations() finds each kind of violation > too many calls while a rate may not be known yet 1`] = `
Array []
`
