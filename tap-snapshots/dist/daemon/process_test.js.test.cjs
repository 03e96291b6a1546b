/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/daemon/process_test.js > TAP > rhubarbkeeld exits immediately on a second SIGTERM > exit code and call 1`] = `
Object {
  "call": "broken connection",
  "exit": 1,
}
`

exports[`dist/daemon/process_test.js > TAP > rhubarbkeeld exits on SIGTERM after it has completed all calls > calls and exit codes 1`] = `
Object {
  "calls": Array [
    "200 answered",
    "200 answered",
    "200 answered",
    "200 answered",
  ],
  "exits": Array [
    0,
    0,
  ],
}
`

exports[`dist/daemon/process_test.js > TAP > rhubarbkeeld keeps serving after SIGHUP > calls 1`] = `
Object {
  "later": "200 answered",
  "open": "200 answered",
}
`
