// Package body generates and verifies the bodies of requests and responses. Each body
// is derived from the request ID, so that truncated and mixed-up responses are
// detected.
package body

import (
	"bytes"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"verbenabank/vload/state/call"
)

// Headers between the load generator and the stand-in targets. ResponseBytesHeader
// carries the requested length of the response body, ChecksumHeader the checksum of
// the request body as the target received it.
const (
	IDHeader            = "X-Vload-Id"
	KeyHeader           = "X-Vload-Key"
	ResponseBytesHeader = "X-Vload-Want"
	ChecksumHeader      = "X-Vload-Sum"
	InstanceHeader      = "X-Vload-Instance"
)

// Generate generates the body of the request with the ID, length bytes long.
func Generate(id string, length int) []byte {
	pattern := []byte(id + ";")
	return bytes.Repeat(pattern, length/len(pattern)+1)[:length]
}

// Checksum returns the xxHash64 checksum of a body as a hexadecimal number.
func Checksum(text []byte) string { return strconv.FormatUint(xxhash.Sum64(text), 16) }

// Check verifies a response to the request: the request ID and key that it echoes,
// the checksum of the request body as the target received it, and the response body.
func Check(r call.Request, id, key, sum string, text []byte) call.BodyCheck {
	if id != r.ID() || key != r.Key() {
		return call.Crossed{}
	}
	if sum != Checksum(Generate(r.ID(), r.UploadBytes())) || len(text) != r.ResponseBytes() {
		return call.Truncated{}
	}
	if !bytes.Equal(text, Generate(r.ID(), r.ResponseBytes())) {
		return call.Crossed{}
	}
	return call.Intact{}
}
