package codec

import (
	"bytes"
	"compress/flate"
	"io"

	"verbenabank/core/command/leader"
	"verbenabank/core/wire/wirepb"
)

const (
	// minPackedBytes is the size of the smallest configuration that is compressed.
	minPackedBytes = 4 << 10
	// maxUnpackedBytes is the size of the largest configuration that is accepted after decompression.
	maxUnpackedBytes = 64 << 20
)

// EncodePackedUpdate is EncodeUpdate with large configurations compressed. A configuration of thousands of
// routes would occupy a slow link for seconds.
func EncodePackedUpdate(u leader.Update) *wirepb.Order {
	m := EncodeUpdate(u)
	for _, c := range m.GetUpdate().GetChanges() {
		if r := c.GetRules(); r != nil {
			packLarge(r)
		}
	}
	return m
}

// packLarge compresses the content of a configuration message if it is large.
func packLarge(m *wirepb.Configuration) {
	if len(m.GetContent()) >= minPackedBytes {
		m.Packed, m.Content = pack(m.GetContent()), nil
	}
}

func pack(content []byte) []byte {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		panic("codec: " + err.Error())
	}
	_, _ = w.Write(content)
	_ = w.Close()
	return out.Bytes()
}

// unpack returns the content of a configuration message.
func unpack(m *wirepb.Configuration) ([]byte, error) {
	if len(m.GetPacked()) == 0 {
		return m.GetContent(), nil
	}
	content, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(m.GetPacked())), maxUnpackedBytes+1))
	if err != nil {
		return nil, newError("rules", Malformed, err)
	}
	if len(content) > maxUnpackedBytes {
		return nil, newError("rules", OutOfRange, nil)
	}
	return content, nil
}
