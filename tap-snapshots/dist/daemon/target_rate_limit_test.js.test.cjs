/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/daemon/target_rate_limit_test.js > TAP > a guard that restarts keeps to the rate that its target had named > after three restarts 1`] = `
within its rate
`

exports[`dist/daemon/target_rate_limit_test.js > TAP > a target that names a rate gets no more calls than it tolerates > rates 1`] = `
Array [
  "1 of 3 at 0.4/s: within its rate; all answered",
  "1 of 3 at 2/s: within its rate; all answered",
  "2 of 3 at 6.5/s: within its rate; all answered",
  "3 of 3 at 2/s: within its rate; 66 of 325 answered, others refused early as target-rate-limited",
  "3 of 3 at 0/s: within its rate; 27 of 325 answered, others refused early as no-target, target-rate-limited",
]
`

exports[`dist/daemon/target_rate_limit_test.js > TAP > a target that says that it is leaving gets no further calls > calls 1`] = `
Array [
  "calls while it leaves: 0",
  "calls after a restart of its daemon: 0",
  "its next process gets calls",
  "all answered",
]
`

exports[`dist/daemon/target_rate_limit_test.js > TAP > the rate of a target ends when the target no longer names one > rates 1`] = `
Array [
  "malformed: within its rate",
  "no longer named: unlimited",
  "new process: unlimited",
]
`
