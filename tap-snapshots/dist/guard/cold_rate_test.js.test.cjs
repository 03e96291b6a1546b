/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/guard/cold_rate_test.js > TAP > warmUp.getLimit() limits the rate of a cold target until it reports that it is warm > admitted calls 1`] = `
Array [
  "no report, 1 s: 10 admitted",
  "cold, 1 s: 9 admitted",
  "warm: no limit",
  "restarted, 2 s: 17 admitted",
  "reported as warm: no limit",
]
`
