package disk

import (
	"encoding/binary"
	"hash/crc32"
)

// A frame is a header of three big-endian 32-bit numbers (payload length, CRC32C
// of the payload, CRC32C of the first two numbers), the payload, and an end mark.
// The end mark is not zero, so that a frame whose end was never written (torn) can
// be told apart from one that was changed later (corrupted).
const (
	frameHeaderSize = 12
	frameEndMark    = 0xA5
	frameOverhead   = frameHeaderSize + 1
	maxPayloadSize  = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendFrame appends the payload to buffer as a frame.
func appendFrame(buffer, payload []byte) []byte {
	start := len(buffer)
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(payload)))
	buffer = binary.BigEndian.AppendUint32(buffer, crc32.Checksum(payload, castagnoli))
	buffer = binary.BigEndian.AppendUint32(buffer, crc32.Checksum(buffer[start:start+8], castagnoli))
	buffer = append(buffer, payload...)
	return append(buffer, frameEndMark)
}

// frameResult is the outcome of reading a frame.
type frameResult interface{ frameResult() }

type (
	validFrame   struct{ payload []byte } // a complete frame with correct checksums
	tornFrame    struct{}                 // a frame whose end was not written before a crash
	corruptFrame struct{}                 // bytes that a crash during a write cannot explain
	endOfFile    struct{}                 // no bytes are left
)

func (validFrame) frameResult()   {}
func (tornFrame) frameResult()    {}
func (corruptFrame) frameResult() {}
func (endOfFile) frameResult()    {}

// readFrame reads the frame at the beginning of rest, which reaches to the end of
// the file. A crash can leave a frame cut short, or with zeros in place of its end
// when the file grew before its content was written; both are torn. A frame with
// an intact payload is valid even if its end mark and all that follows are zeros.
func readFrame(rest []byte) frameResult {
	if len(rest) == 0 {
		return endOfFile{}
	}
	if len(rest) < frameHeaderSize {
		return tornFrame{}
	}
	length := int64(binary.BigEndian.Uint32(rest))
	if crc32.Checksum(rest[:8], castagnoli) != binary.BigEndian.Uint32(rest[8:]) || length > maxPayloadSize {
		return tornOrCorrupt(allZero(rest[frameHeaderSize-1:]))
	}
	size := length + frameOverhead
	if int64(len(rest)) < size {
		return tornFrame{}
	}
	payload := rest[frameHeaderSize : size-1]
	intact := crc32.Checksum(payload, castagnoli) == binary.BigEndian.Uint32(rest[4:])
	endMissing := allZero(rest[size-1:])
	switch {
	case intact && (rest[size-1] == frameEndMark || endMissing):
		return validFrame{payload: payload}
	case intact:
		return corruptFrame{}
	}
	return tornOrCorrupt(endMissing)
}

// tornOrCorrupt returns tornFrame if torn is set, otherwise corruptFrame.
func tornOrCorrupt(torn bool) frameResult {
	if torn {
		return tornFrame{}
	}
	return corruptFrame{}
}

func allZero(data []byte) bool {
	for _, b := range data {
		if b != 0 {
			return false
		}
	}
	return true
}
