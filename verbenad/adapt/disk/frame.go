package disk

import (
	"encoding/binary"
	"hash/crc32"
)

// A frame is a header of three big-endian numbers (length of the payload, its
// CRC32C, CRC32C of the first two), the payload, and an end mark. The end mark is
// not zero, so that a frame whose end was never written can be told from one
// that was changed later.
const (
	frameHeader = 12
	frameMark   = 0xA5
	frameExtra  = frameHeader + 1
	maxPayload  = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendFrame appends the frame of a payload.
func appendFrame(to, payload []byte) []byte {
	begin := len(to)
	to = binary.BigEndian.AppendUint32(to, uint32(len(payload)))
	to = binary.BigEndian.AppendUint32(to, crc32.Checksum(payload, castagnoli))
	to = binary.BigEndian.AppendUint32(to, crc32.Checksum(to[begin:begin+8], castagnoli))
	to = append(to, payload...)
	return append(to, frameMark)
}

// finding is what stands at an offset of a file: whole, torn, broken or nothing.
type finding interface{ finding() }

type (
	whole   struct{ payload []byte } // a frame
	torn    struct{}                 // a frame whose end was not written
	broken  struct{}                 // bytes that a crash cannot explain
	nothing struct{}                 // the end of the file
)

func (whole) finding()   {}
func (torn) finding()    {}
func (broken) finding()  {}
func (nothing) finding() {}

// readFrame tells what stands at the beginning of the rest of a file.
func readFrame(rest []byte) finding {
	if len(rest) == 0 {
		return nothing{}
	}
	if len(rest) < frameHeader {
		return torn{}
	}
	length := int64(binary.BigEndian.Uint32(rest))
	if crc32.Checksum(rest[:8], castagnoli) != binary.BigEndian.Uint32(rest[8:]) || length > maxPayload {
		return tornIf(allZero(rest[frameHeader-1:]))
	}
	size := length + frameExtra
	if int64(len(rest)) < size {
		return torn{}
	}
	payload := rest[frameHeader : size-1]
	intact := crc32.Checksum(payload, castagnoli) == binary.BigEndian.Uint32(rest[4:])
	unended := allZero(rest[size-1:])
	switch {
	case intact && (rest[size-1] == frameMark || unended):
		return whole{payload: payload}
	case intact:
		return broken{}
	}
	return tornIf(unended)
}

func tornIf(t bool) finding {
	if t {
		return torn{}
	}
	return broken{}
}

func allZero(data []byte) bool {
	for _, b := range data {
		if b != 0 {
			return false
		}
	}
	return true
}
