/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/settings/settings_test.js > TAP > parseSettings() accepts the examples > plata 1`] = `
Ok []
`

exports[`dist/settings/settings_test.js > TAP > parseSettings() accepts the examples > qraqeb 1`] = `
Ok []
`

exports[`dist/settings/settings_test.js > TAP > parseSettings() reports all findings with their locations > findings 1`] = `
Array [
  "broken.jsonc:2:3: instanse: unknown name \\"instanse\\", did you mean \\"instance\\"?",
  "broken.jsonc:3:3: instance.failureDomain: Invalid input: expected string, got nothing",
  "broken.jsonc:3:46: instance.failureDomian: unknown name \\"failureDomian\\", did you mean \\"failureDomain\\"?",
  "broken.jsonc:4:16: callers.port: Too big: expected number to be <=65535, got 99999",
  "broken.jsonc:5:14: peers.port: Invalid input: expected number, got \\"7\\"",
  "broken.jsonc:7:15: target.url: Invalid URL, got \\"ftp://x\\"",
  "broken.jsonc:9:18: decisions.picker: Invalid option: expected one of \\"random\\"|\\"round-robin\\"|\\"least-outstanding\\"|\\"two-choices\\"|\\"expected-cost\\", got \\"twochoices\\"",
]
`

exports[`dist/settings/settings_test.js > TAP > parseSettings() reports all findings with their locations > syntax 1`] = `
Array [
  "cut.jsonc:1:15: invalid JSON: ValueExpected",
  "cut.jsonc:1:15: invalid JSON: CloseBraceExpected",
]
`
