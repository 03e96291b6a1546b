/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/link/unbounded_answer_test.js > TAP > a long answer in chunks of one byte is accepted > whole 1`] = `
Array [
  "small: 200 200000 early, stopped, left open, then 200 good",
]
`

exports[`dist/link/unbounded_answer_test.js > TAP > a probe with an unbounded answer completes > probes 1`] = `
Array [
  "a status line: no report early, stopped, closed, then 200 good",
  "the name of a header: no report early, stopped, closed, then 200 good",
  "the value of a header: no report early, stopped, closed, then 200 good",
  "spaces before the value of a header: no report early, stopped, closed, then 200 good",
  "header lines: no report early, stopped, closed, then 200 good",
  "a long header section: no report early, stopped, closed, then 200 good",
  "interim answers: no report early, stopped, closed, then 200 good",
  "line breaks: no report early, stopped, closed, then 200 good",
  "not HTTP: no report early, stopped, closed, then 200 good",
  "letters: no report early, stopped, closed, then 200 good",
  "chunks: healthy: true early, stopped, closed, then 200 good",
  "a body without a length: healthy: true early, stopped, closed, then 200 good",
  "a chunk extension at once: healthy: true early, stopped, closed, then 200 good",
  "a chunk extension in a long body: healthy: true early, stopped, closed, then 200 good",
  "chunks with long extensions: healthy: true early, stopped, closed, then 200 good",
  "trailers: healthy: true early, stopped, closed, then 200 good",
  "the answer to another call: healthy: true early, stopped, closed, then 200 good",
  "a success without a signature: healthy: true early, stopped, closed, then 200 good",
  "an answer that sheds: healthy: false early, stopped, closed, then 200 good",
  "an answer of another target: healthy: true early, stopped, closed, then 200 good",
  "letters after the answer: healthy: true early, stopped, closed, then 200 good",
  "answers after the answer: healthy: true early, stopped, closed, then 200 good",
  "line breaks after the answer: healthy: true early, stopped, closed, then 200 good",
]
`

exports[`dist/link/unbounded_answer_test.js > TAP > an unbounded body is read only as far as its reader asks > abandoned 1`] = `
Array [
  "chunks: 200 abandoned early, stopped, closed, then 200 good",
  "a body without a length: 200 abandoned early, stopped, closed, then 200 good",
  "a chunk extension at once: no answer (broken) early, stopped, closed, then 200 good",
  "a chunk extension in a long body: 200 abandoned early, stopped, closed, then 200 good",
  "chunks with long extensions: no answer (broken) early, stopped, closed, then 200 good",
  "trailers: no answer (broken) early, stopped, closed, then 200 good",
  "the answer to another call: no answer (garbled) early, stopped, closed, then 200 good",
  "a success without a signature: no answer (garbled) early, stopped, closed, then 200 good",
  "an answer that sheds: 503 shed early, stopped, closed, then 200 good",
  "an answer of another target: 421 shed early, stopped, closed, then 200 good",
]
`

exports[`dist/link/unbounded_answer_test.js > TAP > an unbounded body is read only as far as its reader asks > late 1`] = `
Array [
  "chunks: 200 abandoned early, stopped, closed, then 200 good",
  "a body without a length: 200 abandoned early, stopped, closed, then 200 good",
  "a chunk extension at once: no answer (broken) early, stopped, closed, then 200 good",
  "a chunk extension in a long body: 200 abandoned early, stopped, closed, then 200 good",
  "chunks with long extensions: no answer (broken) early, stopped, closed, then 200 good",
  "trailers: no answer (broken) early, stopped, closed, then 200 good",
  "the answer to another call: no answer (garbled) early, stopped, closed, then 200 good",
  "a success without a signature: no answer (garbled) early, stopped, closed, then 200 good",
  "an answer that sheds: 503 shed early, stopped, closed, then 200 good",
  "an answer of another target: 421 shed early, stopped, closed, then 200 good",
]
`

exports[`dist/link/unbounded_answer_test.js > TAP > an unbounded body is read only as far as its reader asks > read 1`] = `
Array [
  "chunks: 200 too-large early, stopped, closed, then 200 good",
  "a body without a length: 200 too-large early, stopped, closed, then 200 good",
  "a chunk extension at once: no answer (broken) early, stopped, closed, then 200 good",
  "a chunk extension in a long body: 200 cut early, stopped, closed, then 200 good",
  "chunks with long extensions: no answer (broken) early, stopped, closed, then 200 good",
  "trailers: no answer (broken) early, stopped, closed, then 200 good",
  "the answer to another call: no answer (garbled) early, stopped, closed, then 200 good",
  "a success without a signature: no answer (garbled) early, stopped, closed, then 200 good",
  "an answer that sheds: 503 shed early, stopped, closed, then 200 good",
  "an answer of another target: 421 shed early, stopped, closed, then 200 good",
]
`

exports[`dist/link/unbounded_answer_test.js > TAP > an unbounded header section fails its call > header sections 1`] = `
Array [
  "a status line: no answer (broken) early, stopped, closed, then 200 good",
  "the name of a header: no answer (broken) early, stopped, closed, then 200 good",
  "the value of a header: no answer (broken) early, stopped, closed, then 200 good",
  "spaces before the value of a header: no answer (broken) early, stopped, closed, then 200 good",
  "header lines: no answer (broken) early, stopped, closed, then 200 good",
  "a long header section: no answer (broken) early, stopped, closed, then 200 good",
  "interim answers: no answer (broken) early, stopped, closed, then 200 good",
  "line breaks: no answer (broken) early, stopped, closed, then 200 good",
  "not HTTP: no answer (broken) early, stopped, closed, then 200 good",
  "letters: no answer (broken) early, stopped, closed, then 200 good",
]
`

exports[`dist/link/unbounded_answer_test.js > TAP > unbounded bytes after an answer close its connection > trailing bytes 1`] = `
Array [
  "letters after the answer: 200 good early, stopped, closed, then 200 good",
  "answers after the answer: 200 good early, stopped, closed, then 200 good",
  "line breaks after the answer: 200 good early, stopped, closed, then 200 good",
]
`
