// Package body makes and checks the bodies of requests and answers, so that
// each can be told from every other.
package body

import (
	"bytes"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"verbenabank/vload/state/call"
)

// Headers between the load tool and stand-in targets.
const (
	IDHeader            = "X-Vload-Id"
	KeyHeader           = "X-Vload-Key"
	ResponseBytesHeader = "X-Vload-Want"
	ChecksumHeader      = "X-Vload-Sum"
	InstanceHeader      = "X-Vload-Instance"
)

// Generate returns the body of length bytes that belongs to the request ID.
func Generate(id string, length int) []byte {
	pattern := []byte(id + ";")
	return bytes.Repeat(pattern, length/len(pattern)+1)[:length]
}

// Checksum returns the checksum of a body.
func Checksum(text []byte) string { return strconv.FormatUint(xxhash.Sum64(text), 16) }

// Check returns what an answer with the ID, key, checksum of the upload and text
// is to the request.
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
