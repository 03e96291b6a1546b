/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/scale/capacity_test.js > TAP > fitLine() gives slope, base and residual > lines 1`] = `
Array [
  Object {
    "base": 1,
    "points": Array [
      Array [
        1,
        3,
      ],
      Array [
        2,
        5,
      ],
      Array [
        3,
        7,
      ],
    ],
    "residual": 0,
    "rSquared": 1,
    "slope": 2,
  },
  Object {
    "base": 1.333333333333333,
    "points": Array [
      Array [
        1,
        3,
      ],
      Array [
        2,
        6,
      ],
      Array [
        3,
        7,
      ],
    ],
    "residual": 0.666666666666667,
    "rSquared": 0.923076923076923,
    "slope": 2,
  },
]
`
