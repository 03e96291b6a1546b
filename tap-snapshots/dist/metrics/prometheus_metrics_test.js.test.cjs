/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/metrics/prometheus_metrics_test.js > TAP > DeferredMetrics forwards measurements that were made before the library was loaded > samples 1`] = `
Array [
  "rhubarbkeel_calls{outcome=\\"answered\\",instance=\\"boards-1\\"} 1",
  "rhubarbkeel_calls{outcome=\\"not-run\\",instance=\\"boards-1\\"} 1",
  "rhubarbkeel_version_disagreements{entry=\\"older\\",instance=\\"boards-1\\"} 1",
  "rhubarbkeel_call_ms_bucket{le=\\"5\\",instance=\\"boards-1\\",outcome=\\"answered\\"} 0",
  "rhubarbkeel_call_ms_bucket{le=\\"10\\",instance=\\"boards-1\\",outcome=\\"answered\\"} 1",
  "rhubarbkeel_call_ms_count{instance=\\"boards-1\\",outcome=\\"answered\\"} 1",
  "rhubarbkeel_in_flight{instance=\\"boards-1\\"} 3",
]
`
