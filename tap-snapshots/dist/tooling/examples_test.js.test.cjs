/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/tooling/examples_test.js > TAP > each example in a module comment runs > examples 1`] = `
Array [
  "caller: 0 failed",
  "configuration: 0 failed",
  "contract: 0 failed",
  "distribution: 0 failed",
  "entry: 0 failed",
  "event_log: 0 failed",
  "failure_domain: 0 failed",
  "finding: 0 failed",
  "guard: 0 failed",
  "idempotency: 0 failed",
  "instance: 0 failed",
  "link: 0 failed",
  "metrics: 0 failed",
  "placement: 0 failed",
  "platform: 0 failed",
  "random: 0 failed",
  "settings: 0 failed",
  "timer: 0 failed",
]
`
