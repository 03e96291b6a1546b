/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/daemon/bad_input_test.js > TAP > an answer that cannot be sent on ends its call, not the process > received 1`] = `
Array [
  "/boards/utf-8: 200 e4bda0c3a9",
  "/boards/latin-1: 200 e9ff",
  "/boards/control-character: 502",
  "/boards/delete-character: 502",
  "/boards/header-name: 502",
  "/boards/status-000: 502",
  "/boards/status-099: 502",
  "/boards/status-999: 502",
  "/boards/status-101: 502",
  "/boards/bad-length: 502",
  "/boards/no-content: 204",
  "200 answered 0 bytes",
]
`

exports[`dist/daemon/bad_input_test.js > TAP > caller server handles bad input and keeps serving > a call chain that is too deep 1`] = `
400 not-run expected a depth below 32, got "32"
`

exports[`dist/daemon/bad_input_test.js > TAP > caller server handles bad input and keeps serving > a deadline that has passed 1`] = `
504 not-run deadline passed, got -3 ms left
`

exports[`dist/daemon/bad_input_test.js > TAP > caller server handles bad input and keeps serving > a good call 1`] = `
200 answered 0 bytes
`

exports[`dist/daemon/bad_input_test.js > TAP > caller server handles bad input and keeps serving > a good call afterwards 1`] = `
200 answered 0 bytes
`

exports[`dist/daemon/bad_input_test.js > TAP > caller server handles bad input and keeps serving > a large answer 1`] = `
200 answered 900000 bytes
`

exports[`dist/daemon/bad_input_test.js > TAP > caller server handles bad input and keeps serving > a malformed deadline 1`] = `
400 not-run deadline must be whole milliseconds, got "soon"
`

exports[`dist/daemon/bad_input_test.js > TAP > caller server handles bad input and keeps serving > a streamed body above the limit 1`] = `
413 unknown
`

exports[`dist/daemon/bad_input_test.js > TAP > caller server handles bad input and keeps serving > a streamed body above the limit whose answer has started 1`] = `
broken connection
`

exports[`dist/daemon/bad_input_test.js > TAP > caller server handles bad input and keeps serving > a streamed body within the limit 1`] = `
200 answered 917504 bytes
`

exports[`dist/daemon/bad_input_test.js > TAP > caller server handles bad input and keeps serving > a streamed body without a key 1`] = `
428 not-run route "post-result" is not idempotent, got no Idempotency-Key
`

exports[`dist/daemon/bad_input_test.js > TAP > caller server handles bad input and keeps serving > a target that resets in the middle of its answer 1`] = `
502 unknown
`

exports[`dist/daemon/bad_input_test.js > TAP > caller server handles bad input and keeps serving > an announced body above the limit 1`] = `
413 not-run expected a body of at most 1048576 bytes, got 1048577
`

exports[`dist/daemon/bad_input_test.js > TAP > caller server handles bad input and keeps serving > an unknown route 1`] = `
404 not-run workspace "plata" has no route for GET /clocks
`

exports[`dist/daemon/bad_input_test.js > TAP > caller server handles bad input and keeps serving > an unknown workspace 1`] = `
404 not-run no workspace for host "127.0.0.1" and name "plato"
`

exports[`dist/daemon/bad_input_test.js > TAP > caller server handles bad input and keeps serving > oversized headers 1`] = `
431 undefined 0 bytes
`

exports[`dist/daemon/bad_input_test.js > TAP > caller that disconnects cancels its call at the target > cancelled at the target 1`] = `
Array [
  "/boards/hang",
]
`

exports[`dist/daemon/bad_input_test.js > TAP > peer server closes the link of a malformed frame and keeps serving > after the malformed frame 1`] = `
Array [
  "200 answered 0 bytes",
  "event=link-rejected detail=\\"expected MessagePack, got 3 other bytes\\"",
]
`
