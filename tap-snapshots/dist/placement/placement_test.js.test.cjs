/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/placement/placement_test.js > TAP > expected cost picker chooses another region only when the wait exceeds the round trip > choices by queue length 1`] = `
Array [
  "queued=0 choice=boards-centro-a",
  "queued=5 choice=boards-centro-a",
  "queued=10 choice=boards-centro-a",
  "queued=20 choice=boards-norte-a",
  "queued=40 choice=boards-norte-a",
]
`

exports[`dist/placement/placement_test.js > TAP > placement.choose() chooses only targets in the home regions > restricted to ar-norte 1`] = `
Array [
  "boards-norte-a picked",
  "boards-norte-a picked",
  "boards-norte-a picked",
  "boards-norte-a picked",
  "boards-norte-a picked",
  "boards-norte-a picked",
]
`

exports[`dist/placement/placement_test.js > TAP > placement.choose() never chooses a failure domain that is out of service > expected-cost 1`] = `
Array [
  "boards-centro-a picked",
  "boards-centro-b picked",
  "boards-centro-a picked",
  "boards-centro-b picked",
  "boards-centro-a picked",
  "boards-centro-b picked",
]
`

exports[`dist/placement/placement_test.js > TAP > placement.choose() never chooses a failure domain that is out of service > least-outstanding 1`] = `
Array [
  "boards-norte-a picked",
  "boards-centro-b picked",
  "boards-centro-a picked",
  "boards-centro-a picked",
  "boards-norte-a picked",
  "boards-centro-b picked",
]
`

exports[`dist/placement/placement_test.js > TAP > placement.choose() never chooses a failure domain that is out of service > random 1`] = `
Array [
  "boards-norte-a picked",
  "boards-centro-a picked",
  "boards-norte-a picked",
  "boards-centro-b picked",
  "boards-centro-a picked",
  "boards-centro-a picked",
]
`

exports[`dist/placement/placement_test.js > TAP > placement.choose() never chooses a failure domain that is out of service > round-robin 1`] = `
Array [
  "boards-centro-b picked",
  "boards-norte-a picked",
  "boards-centro-a picked",
  "boards-centro-b picked",
  "boards-norte-a picked",
  "boards-centro-a picked",
]
`

exports[`dist/placement/placement_test.js > TAP > placement.choose() never chooses a failure domain that is out of service > two-choices 1`] = `
Array [
  "boards-norte-a picked",
  "boards-centro-b picked",
  "boards-centro-a picked",
  "boards-centro-a picked",
  "boards-centro-b picked",
  "boards-norte-a picked",
]
`

exports[`dist/placement/placement_test.js > TAP > placement.choose() refuses when every target has been tried > refusal 1`] = `
Array [
  "no-target: pool \\"boards\\" has no target left that accepts calls, tried 3",
]
`
