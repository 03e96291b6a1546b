/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/platform/platform_dialect_test.js > TAP > PlatformDialect.readTargetHeaders() accepts only decimal numbers as a rate > leaving 1`] = `
Array [
  "1: true",
  "0: false",
  "true: false",
  ": false",
]
`

exports[`dist/platform/platform_dialect_test.js > TAP > PlatformDialect.readTargetHeaders() accepts only decimal numbers as a rate > rates 1`] = `
Array [
  "4.4: {\\"kind\\":\\"named\\",\\"perSecond\\":4.4}",
  "0: {\\"kind\\":\\"named\\",\\"perSecond\\":0}",
  "12: {\\"kind\\":\\"named\\",\\"perSecond\\":12}",
  " 3.5 : {\\"kind\\":\\"named\\",\\"perSecond\\":3.5}",
  ".5: {\\"kind\\":\\"named\\",\\"perSecond\\":0.5}",
  "4.: {\\"kind\\":\\"named\\",\\"perSecond\\":4}",
  "1e3: {\\"kind\\":\\"malformed\\",\\"text\\":\\"1e3\\"}",
  "-1: {\\"kind\\":\\"malformed\\",\\"text\\":\\"-1\\"}",
  ": {\\"kind\\":\\"malformed\\",\\"text\\":\\"\\"}",
  "NaN: {\\"kind\\":\\"malformed\\",\\"text\\":\\"NaN\\"}",
  "Infinity: {\\"kind\\":\\"malformed\\",\\"text\\":\\"Infinity\\"}",
  "9999999999: {\\"kind\\":\\"malformed\\",\\"text\\":\\"99999999999999999999999999999999",
  "4,5: {\\"kind\\":\\"malformed\\",\\"text\\":\\"4,5\\"}",
  "0x10: {\\"kind\\":\\"malformed\\",\\"text\\":\\"0x10\\"}",
]
`

exports[`dist/platform/platform_dialect_test.js > TAP > PlatformDialect.readTargetHeaders() parses the headers of target answers > fields 1`] = `
Object {
  "another run": Object {
    "callId": undefined,
    "coldMs": 0,
    "isAuthentic": true,
    "load": undefined,
    "shed": true,
    "statement": Object {
      "isLeaving": false,
      "rate": Object {
        "kind": "none",
      },
    },
    "targetId": "i-02",
  },
  "cold for ever": Object {
    "callId": undefined,
    "coldMs": 0,
    "isAuthentic": false,
    "load": undefined,
    "shed": false,
    "statement": Object {
      "isLeaving": false,
      "rate": Object {
        "kind": "none",
      },
    },
    "targetId": "i-1",
  },
  "cold for less than nothing": Object {
    "callId": undefined,
    "coldMs": 0,
    "isAuthentic": false,
    "load": undefined,
    "shed": false,
    "statement": Object {
      "isLeaving": false,
      "rate": Object {
        "kind": "none",
      },
    },
    "targetId": "i-1",
  },
  "cold in milliseconds": Object {
    "callId": undefined,
    "coldMs": 1500,
    "isAuthentic": false,
    "load": undefined,
    "shed": false,
    "statement": Object {
      "isLeaving": false,
      "rate": Object {
        "kind": "none",
      },
    },
    "targetId": "i-1",
  },
  "cold in seconds": Object {
    "callId": undefined,
    "coldMs": 2500,
    "isAuthentic": false,
    "load": undefined,
    "shed": false,
    "statement": Object {
      "isLeaving": false,
      "rate": Object {
        "kind": "none",
      },
    },
    "targetId": "i-1",
  },
  "cold without a number": Object {
    "callId": undefined,
    "coldMs": 0,
    "isAuthentic": false,
    "load": undefined,
    "shed": false,
    "statement": Object {
      "isLeaving": false,
      "rate": Object {
        "kind": "none",
      },
    },
    "targetId": "i-1",
  },
  "cold without a unit": Object {
    "callId": undefined,
    "coldMs": 700,
    "isAuthentic": false,
    "load": undefined,
    "shed": false,
    "statement": Object {
      "isLeaving": false,
      "rate": Object {
        "kind": "none",
      },
    },
    "targetId": "i-1",
  },
  "load beyond all numbers": Object {
    "callId": "9c41",
    "coldMs": 0,
    "isAuthentic": true,
    "load": undefined,
    "shed": false,
    "statement": Object {
      "isLeaving": false,
      "rate": Object {
        "kind": "none",
      },
    },
    "targetId": undefined,
  },
  "load of large numbers": Object {
    "callId": "9c41",
    "coldMs": 0,
    "isAuthentic": true,
    "load": undefined,
    "shed": false,
    "statement": Object {
      "isLeaving": false,
      "rate": Object {
        "kind": "none",
      },
    },
    "targetId": undefined,
  },
  "load of non-numbers": Object {
    "callId": "9c41",
    "coldMs": 0,
    "isAuthentic": true,
    "load": undefined,
    "shed": false,
    "statement": Object {
      "isLeaving": false,
      "rate": Object {
        "kind": "none",
      },
    },
    "targetId": undefined,
  },
  "load with slowdown": Object {
    "callId": "9c41",
    "coldMs": 0,
    "isAuthentic": true,
    "load": Object {
      "running": 3,
      "slots": 8,
      "slowdown": 4,
      "waiting": 1,
    },
    "shed": false,
    "statement": Object {
      "isLeaving": false,
      "rate": Object {
        "kind": "none",
      },
    },
    "targetId": undefined,
  },
  "load with too few numbers": Object {
    "callId": "9c41",
    "coldMs": 0,
    "isAuthentic": true,
    "load": undefined,
    "shed": false,
    "statement": Object {
      "isLeaving": false,
      "rate": Object {
        "kind": "none",
      },
    },
    "targetId": undefined,
  },
  "load without slowdown": Object {
    "callId": "9c41",
    "coldMs": 0,
    "isAuthentic": true,
    "load": Object {
      "running": 3,
      "slots": 8,
      "slowdown": 1,
      "waiting": 1,
    },
    "shed": false,
    "statement": Object {
      "isLeaving": false,
      "rate": Object {
        "kind": "none",
      },
    },
    "targetId": undefined,
  },
  "shed": Object {
    "callId": undefined,
    "coldMs": 0,
    "isAuthentic": true,
    "load": undefined,
    "shed": true,
    "statement": Object {
      "isLeaving": false,
      "rate": Object {
        "kind": "none",
      },
    },
    "targetId": undefined,
  },
  "signed": Object {
    "callId": "9c41",
    "coldMs": 0,
    "isAuthentic": true,
    "load": undefined,
    "shed": false,
    "statement": Object {
      "isLeaving": false,
      "rate": Object {
        "kind": "none",
      },
    },
    "targetId": undefined,
  },
  "unsigned failure": Object {
    "callId": undefined,
    "coldMs": 0,
    "isAuthentic": true,
    "load": undefined,
    "shed": false,
    "statement": Object {
      "isLeaving": false,
      "rate": Object {
        "kind": "none",
      },
    },
    "targetId": undefined,
  },
  "unsigned success": Object {
    "callId": "9c41",
    "coldMs": 0,
    "isAuthentic": false,
    "load": undefined,
    "shed": false,
    "statement": Object {
      "isLeaving": false,
      "rate": Object {
        "kind": "none",
      },
    },
    "targetId": undefined,
  },
}
`

exports[`dist/platform/platform_dialect_test.js > TAP > PlatformDialect.toTargetHeaders() sets the deadline, the caller pool and the expected target > known target process 1`] = `
Array [
  Array [
    "request-deadline",
    "811",
  ],
  Array [
    "caller-service",
    "boards",
  ],
  Array [
    "target-instance",
    "i-1",
  ],
]
`

exports[`dist/platform/platform_dialect_test.js > TAP > PlatformDialect.toTargetHeaders() sets the deadline, the caller pool and the expected target > unknown target process 1`] = `
Array [
  Array [
    "request-deadline",
    "1",
  ],
  Array [
    "caller-service",
    "boards",
  ],
]
`
