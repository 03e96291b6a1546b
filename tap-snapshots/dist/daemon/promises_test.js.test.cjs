/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/daemon/promises_test.js > TAP > a key that was handed over is found while its issuer starts without a configuration > results 1`] = `
Array [
  "answered: results-centro-a ran result (next key)",
  "answered: results-centro-a ran result (next key)",
  "runs=1",
]
`

exports[`dist/daemon/promises_test.js > TAP > an issued key is not refused as invalid after its route was restricted to home regions > result 1`] = `
unknown: key-owner-gone (next key)
`

exports[`dist/daemon/promises_test.js > TAP > configuration never reverts and is distributed without the platform > versions in force 1`] = `
Array [
  "published: versions 2",
  "service down, one daemon restarted: versions 2",
  "service back with an old version: versions 2",
  "one daemon restarted while the service is stale: versions 2",
  "a version with findings: versions 2",
  "configuration:1:451: routes[0].pool: unknown name \\"boards\\"",
  "configuration:1:687: routes[1].pool: unknown name \\"boards\\"",
  "configuration:1:921: routes[2].pool: unknown name \\"results\\"",
  "configuration:1:1169: routes[3].pool: unknown name \\"results\\"",
  "configuration:1:1405: routes[4].pool: unknown name \\"results\\"",
]
`

exports[`dist/daemon/promises_test.js > TAP > daemon discards outdated state after a pause > results 1`] = `
Array [
  "unknown: not-ready",
  "answered: results-centro-a ran result (next key)",
  "runs=1",
]
`

exports[`dist/daemon/promises_test.js > TAP > daemon.drain() hands keys over to a successor > results 1`] = `
Array [
  "answered: results-centro-a ran result",
  "answered: results-centro-a ran result (next key)",
  "answered: results-centro-b ran second (next key)",
  "runs=1",
  "runs=1",
]
`

exports[`dist/daemon/promises_test.js > TAP > daemon.serve() answers or refuses calls to idempotent routes > a deadline below the service time 1`] = `
unknown: deadline-passed
`

exports[`dist/daemon/promises_test.js > TAP > daemon.serve() answers or refuses calls to idempotent routes > a deadline that has passed 1`] = `
not-run: deadline-passed
`

exports[`dist/daemon/promises_test.js > TAP > daemon.serve() answers or refuses calls to idempotent routes > a known route 1`] = `
answered: boards-centro-a ran /boards/3?round=2
`

exports[`dist/daemon/promises_test.js > TAP > daemon.serve() answers or refuses calls to idempotent routes > an unknown method 1`] = `
not-run: unknown-route
`

exports[`dist/daemon/promises_test.js > TAP > daemon.serve() answers or refuses calls to idempotent routes > an unknown route 1`] = `
not-run: unknown-route
`

exports[`dist/daemon/promises_test.js > TAP > daemon.serve() answers or refuses calls to idempotent routes > an unknown workspace 1`] = `
not-run: unknown-workspace
`

exports[`dist/daemon/promises_test.js > TAP > daemon.serve() fences a call that arrives late > a call delivered twice 1`] = `
Array [
  "answered: results-centro-a ran result (next key)",
  "runs=1",
]
`

exports[`dist/daemon/promises_test.js > TAP > daemon.serve() joins a resend to the running call > both results 1`] = `
Array [
  "answered: results-centro-a ran result (next key)",
  "answered: results-centro-a ran result (next key)",
  "runs=1",
]
`

exports[`dist/daemon/promises_test.js > TAP > daemon.serve() never runs a call again after its key owner has restarted > results 1`] = `
Array [
  "answered: results-centro-a ran result (next key)",
  "unknown: key-owner-gone (next key)",
  "unknown: key-owner-gone (next key)",
  "runs=1",
]
`

exports[`dist/daemon/promises_test.js > TAP > daemon.serve() reports a correct outcome when the executor crashes > after-run 1`] = `
Array [
  "unknown: answer-lost (next key)",
  "unknown: answer-lost (next key)",
  "runs=1",
]
`

exports[`dist/daemon/promises_test.js > TAP > daemon.serve() reports a correct outcome when the executor crashes > before-run 1`] = `
Array [
  "unknown: answer-lost (next key)",
  "unknown: answer-lost (next key)",
  "runs=0",
]
`

exports[`dist/daemon/promises_test.js > TAP > daemon.serve() reports a correct outcome when the executor crashes > during-answer 1`] = `
Array [
  "unknown: answer-lost (next key)",
  "unknown: answer-lost (next key)",
  "runs=1",
]
`

exports[`dist/daemon/promises_test.js > TAP > daemon.serve() reports a correct outcome when the executor crashes > during-run 1`] = `
Array [
  "unknown: answer-lost (next key)",
  "unknown: answer-lost (next key)",
  "runs=1",
]
`

exports[`dist/daemon/promises_test.js > TAP > daemon.serve() runs a call of a restricted route in its home regions only > results 1`] = `
Array [
  "not-run: outside-home-regions",
  "answered: results-norte-a ran result (next key)",
  "unknown: outside-home-regions",
  "runs=1",
  "results-norte-a",
]
`

exports[`dist/daemon/promises_test.js > TAP > daemon.serve() runs a non-idempotent call once under its key > sends 1`] = `
Array [
  "boards-centro-a not-run: key-required (next key) runs=0",
  "boards-centro-a answered: results-centro-a ran result (next key) runs=1",
  "boards-centro-a answered: results-centro-a ran result (next key) runs=1",
  "results-norte-b answered: results-centro-a ran result (next key) runs=1",
  "boards-centro-a not-run: key-reused (next key) runs=1",
  "boards-norte-a unknown: key-owner-gone (next key) runs=1",
  "boards-centro-a unknown: key-invalid (next key) runs=1",
  "boards-centro-a not-run: key-invalid (next key) runs=1",
]
`

exports[`dist/daemon/promises_test.js > TAP > daemon.serve() settles a call whose link broke > lost Answer 1`] = `
Array [
  "answered: results-centro-a ran result (next key)",
  "runs=1",
]
`

exports[`dist/daemon/promises_test.js > TAP > daemon.serve() settles a call whose link broke > lost Call 1`] = `
Array [
  "answered: results-centro-b ran result (next key)",
  "runs=1",
]
`

exports[`dist/daemon/promises_test.js > TAP > guard refuses attempts in a failure domain that is out of service > all but norte-b out of service 1`] = `
Array [
  "answered: boards-norte-b ran /boards/1",
  "boards-norte-b",
]
`

exports[`dist/daemon/promises_test.js > TAP > guard refuses attempts in a failure domain that is out of service > back in service 1`] = `
answered: boards-centro-a ran /boards/1
`

exports[`dist/daemon/promises_test.js > TAP > quarantine blocks a call that crashes each target > rounds 1`] = `
Array [
  "unknown: quarantined",
  "innocent answered: boards-norte-b ran /halls/1",
  "unknown: quarantined",
  "innocent answered: boards-centro-b ran /halls/1",
  "not-run: quarantined",
  "innocent answered: boards-centro-a ran /halls/1",
  "crashes=3",
  "later answered: boards-centro-a ran /halls/9",
]
`
