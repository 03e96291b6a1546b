/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/link/frame_codec_test.js > TAP > decodeFrames() accepts a frame only if each field passes its check > any fields 1`] = `
false
`

exports[`dist/link/frame_codec_test.js > TAP > decodeFrames() rejects any other bytes without throwing > any bytes 1`] = `
false
`

exports[`dist/link/frame_codec_test.js > TAP > decodeFrames() restores the frames that encodeFrames() has encoded > two frames 1`] = `
Ok []
`
