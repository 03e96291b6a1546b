/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/platform/store_source_test.js > TAP > StoreSource.read() converts items of operators to a configuration > a failure domain taken out 1`] = `
Object {
  "callers": Object {
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
  },
  "failureDomains": Array [
    Object {
      "name": "centro-a",
      "region": "ar-centro",
      "state": "in",
    },
    Object {
      "name": "sur-a",
      "region": "ar-sur",
      "state": "out",
    },
  ],
  "pools": Array [
    Object {
      "coldMs": 3000,
      "coldPerSecond": 8.6,
      "coldSlots": 1,
      "healthPath": "/health",
      "name": "boards",
      "retryPercent": 10,
      "slots": 1,
    },
    Object {
      "coldMs": 3000,
      "coldPerSecond": 8.6,
      "coldSlots": 1,
      "healthPath": "/health",
      "name": "results",
      "retryPercent": 10,
      "slots": 1,
    },
  ],
  "routes": Array [
    Object {
      "bodyLimitBytes": 1000,
      "homeRegions": Array [
        "ar-centro",
      ],
      "idempotent": false,
      "issuedKeys": false,
      "maxAttempts": 2,
      "name": "r-1",
      "objectiveMs": 600,
      "path": "/results/",
      "pool": "results",
      "quarantine": true,
      "timeoutMs": 1500,
      "weight": 0.5,
      "workspace": "clubs.example",
    },
    Object {
      "bodyLimitBytes": 1000,
      "idempotent": true,
      "issuedKeys": false,
      "maxAttempts": 2,
      "name": "r-2",
      "objectiveMs": 500,
      "path": "/boards/",
      "pools": Array [
        Object {
          "pool": "boards",
          "weight": 90,
        },
        Object {
          "pool": "results",
          "weight": 10,
        },
      ],
      "quarantine": true,
      "timeoutMs": 1200,
      "weight": 0.3333333333333333,
      "workspace": "clubs.example",
    },
  ],
  "version": 2199023255558,
  "workspaces": Array [
    Object {
      "hosts": Array [
        "clubs.example",
      ],
      "name": "clubs.example",
    },
  ],
}
`

exports[`dist/platform/store_source_test.js > TAP > StoreSource.read() fails while the store is unavailable > reads 1`] = `
Array [
  "up: 10.1.0.8 boards i-1 live",
  "refusing: no answer",
  "limiting: no answer",
  "resetting: no answer",
  "silent: no answer",
]
`

exports[`dist/platform/store_source_test.js > TAP > StoreSource.read() lists valid registrations and logs invalid ones > lists 1`] = `
Array [
  "first: 10.1.0.8 results i-4 live",
  "draining: 10.1.0.8 results i-4 leaving",
  "nothing new: no newer list",
  "after a fraction of a millisecond: no newer list",
  "history dropped: 10.1.0.8 boards i-1 live",
  "event=entry-unreadable key=servers/i-2 problem=\\"slots: Invalid input: expected number, received string\\"",
  "event=entry-unreadable key=servers/i-3 problem=\\": Invalid input: expected object, received undefined\\"",
  "event=entry-unreadable key=servers/i-5 problem=\\"state: Invalid option: expected one of \\\\\\"ready\\\\\\"|\\\\\\"draining\\\\\\"\\"",
]
`

exports[`dist/platform/store_source_test.js > TAP > StoreSource.read() retains instances missing after an outage > lists 1`] = `
Array [
  "before: 10.1.0.8 boards i-1 live, 10.1.0.9 boards i-2 live",
  "unavailable: no answer",
  "available again: 10.1.0.8 boards i-1 lapsed, 10.1.0.9 boards i-2 lapsed",
  "one is listed again: 10.1.0.8 boards i-1 lapsed, 10.1.0.9 boards i-2 live",
  "it leaves: 10.1.0.8 boards i-1 lapsed",
  "the other is dropped: 10.1.0.9 boards i-2 live",
]
`
