/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/cli/patch_command_test.js > TAP > applyPatch() returns the next version or all findings > a failure domain taken out of service 1`] = `
Array [
  "version 2",
]
`

exports[`dist/cli/patch_command_test.js > TAP > applyPatch() returns the next version or all findings > a result with findings 1`] = `
Array [
  "examples/qraqeb/configuration.jsonc (version 2):82:7: routes[0].pool: unknown name \\"fee-desc\\", did you mean \\"fee-desk\\"?",
  "examples/qraqeb/configuration.jsonc (version 2):97:7: routes[1].timeoutMs: Too small: expected number to be >0, got -1",
]
`

exports[`dist/cli/patch_command_test.js > TAP > applyPatch() returns the next version or all findings > a wrong base 1`] = `
Array [
  "change.json:1:2: base: expected base version 1, got 4",
]
`

exports[`dist/cli/patch_command_test.js > TAP > applyPatch() returns the next version or all findings > an unknown operation 1`] = `
Array [
  "change.json:1:21: patch[0].op: Invalid option: expected one of \\"add\\"|\\"remove\\"|\\"replace\\"|\\"move\\"|\\"copy\\"|\\"test\\", got \\"rename\\"",
]
`

exports[`dist/cli/patch_command_test.js > TAP > applyPatch() returns the next version or all findings > home regions that exclude each other 1`] = `
Array [
  "examples/qraqeb/configuration.jsonc (version 2):112:7: routes[2].homeRegions: expected a region that workspace \\"fes-council\\" permits too, got [\\"casa-region\\"]",
]
`

exports[`dist/cli/patch_command_test.js > TAP > applyPatch() returns the next version or all findings > operations that cannot be applied 1`] = `
Array [
  "change.json:1:20: patch[0]: operation \\"remove\\" cannot be applied at \\"/none\\": Cannot perform the operation at a path that does not exist",
  "change.json:1:51: patch[1]: operation \\"replace\\" cannot be applied at \\"/routes/9/pool\\": Cannot perform the operation at a path that does not exist",
]
`
