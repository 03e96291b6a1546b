/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/timer/pause_detector_test.js > TAP > PauseDetector.check() distinguishes a pause of the process from a suspension > detections 1`] = `
Array [
  "one check interval: nothing",
  "both clocks advanced: paused 3000",
  "only the wall clock advanced: suspended 3000",
  "the wall clock was set back: nothing",
]
`
