/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/timer/pause_detector_test.js > TAP > PauseWatch.check() tells a pause of the process from a suspension > signs 1`] = `
Array [
  "a period: nothing",
  "both clocks ran on: paused 3000",
  "only the time of day ran on: suspended 3000",
  "the time of day was set back: nothing",
]
`
