/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/link/repeated_answer_test.js > TAP > an answer that is sent again is not taken for that of a later call > default dialect 1`] = `
Array [
  "refusal, empty, with identifier: 503 not run, unknown (garbled), 200 \\"own call-3\\"",
  "refusal with a body, with identifier: 503 not run, unknown (garbled), 200 \\"own call-3\\"",
  "refusal, empty, without identifier: 503 not run, unknown (garbled), 200 \\"own call-3\\"",
  "refusal with a body, without identifier: 503 not run, unknown (garbled), 200 \\"own call-3\\"",
]
`

exports[`dist/link/repeated_answer_test.js > TAP > an answer that is sent again is not taken for that of a later call > platform 1`] = `
Array [
  "refusal, empty, with identifier: 503 not run, unknown (garbled), 200 \\"own call-3\\"",
  "refusal with a body, with identifier: 503 not run, unknown (garbled), 200 \\"own call-3\\"",
  "other process, with identifier: 421 not run, unknown (garbled), 200 \\"own call-3\\"",
  "bad request, with identifier: 400 not run, unknown (garbled), 200 \\"own call-3\\"",
  "failure, with identifier: 500 \\"broken\\", unknown (garbled), 200 \\"own call-3\\"",
  "timeout, with identifier: 504 \\"\\", unknown (garbled), 200 \\"own call-3\\"",
  "success, with identifier: 200 \\"first\\", unknown (garbled), 200 \\"own call-3\\"",
  "success, unsigned and empty, with identifier: unknown (garbled), unknown (garbled), 200 \\"own call-3\\"",
  "refusal, empty, without identifier: 503 not run, unknown (garbled), 200 \\"own call-3\\"",
  "refusal with a body, without identifier: 503 not run, unknown (garbled), 200 \\"own call-3\\"",
  "other process, without identifier: 421 not run, unknown (garbled), 200 \\"own call-3\\"",
  "bad request, without identifier: 400 not run, unknown (garbled), 200 \\"own call-3\\"",
  "failure, without identifier: 500 \\"broken\\", unknown (garbled), 200 \\"own call-3\\"",
  "timeout, without identifier: 504 \\"\\", unknown (garbled), 200 \\"own call-3\\"",
  "success, without identifier: 200 \\"first\\", unknown (garbled), 200 \\"own call-3\\"",
  "success, unsigned and empty, without identifier: unknown (garbled), unknown (garbled), 200 \\"own call-3\\"",
]
`

exports[`dist/link/repeated_answer_test.js > TAP > an answer to a call is not taken for the report of a probe > probes 1`] = `
Array [
  "refusal, empty, with identifier: no report",
  "refusal, empty, without identifier: no report",
  "refusal with a body, with identifier: no report",
  "refusal with a body, without identifier: no report",
  "other process, with identifier: no report",
  "other process, without identifier: no report",
  "bad request, with identifier: no report",
  "bad request, without identifier: no report",
  "failure, with identifier: no report",
  "failure, without identifier: no report",
  "timeout, with identifier: no report",
  "timeout, without identifier: no report",
  "success, with identifier: no report",
  "success, without identifier: no report",
  "success, unsigned and empty, with identifier: no report",
  "success, unsigned and empty, without identifier: no report",
]
`
