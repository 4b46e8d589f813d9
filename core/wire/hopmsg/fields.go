package hopmsg

import (
	"bytes"
	"slices"
	"strings"

	"verbenabank/core/state/call"
	"verbenabank/core/wire/wirepb"
)

// maxFieldMessages is the number of header fields up to which each is a message of its own. More are packed into one text,
// since a message costs much more memory than a short field.
const maxFieldMessages = 64

// fieldEnd ends a name and a value in packed fields.
const fieldEnd = "\n"

// hasFieldEnd reports whether the field cannot be packed.
func hasFieldEnd(f call.Field) bool {
	return strings.Contains(f.Name(), fieldEnd) || strings.Contains(f.Value(), fieldEnd)
}

// encodeFields returns the header fields as messages, or packed if there are many.
func encodeFields(fields []call.Field) ([]*wirepb.HeaderField, []byte) {
	if len(fields) > maxFieldMessages && !slices.ContainsFunc(fields, hasFieldEnd) {
		return nil, packFields(fields)
	}
	out := make([]*wirepb.HeaderField, 0, len(fields))
	for _, f := range fields {
		out = append(out, &wirepb.HeaderField{Name: f.Name(), Value: []byte(f.Value())})
	}
	return out, nil
}

func packFields(fields []call.Field) []byte {
	size := 0
	for _, f := range fields {
		size += len(f.Name()) + len(f.Value()) + 2*len(fieldEnd)
	}
	out := make([]byte, 0, size)
	for _, f := range fields {
		out = append(append(out, f.Name()...), fieldEnd...)
		out = append(append(out, f.Value()...), fieldEnd...)
	}
	return out
}

func decodeFields(list []*wirepb.HeaderField, packed []byte) []call.Field {
	text := string(packed)
	out := make([]call.Field, 0, len(list)+strings.Count(text, fieldEnd)/2)
	for _, h := range list {
		out = append(out, call.NewField(h.GetName(), string(h.GetValue())))
	}
	for text != "" {
		name, rest, _ := strings.Cut(text, fieldEnd)
		value, next, complete := strings.Cut(rest, fieldEnd)
		if !complete {
			break
		}
		out, text = append(out, call.NewField(name, value)), next
	}
	return out
}

// HeadSize returns the bytes and the number of the header fields of a request, without decoding them.
func HeadSize(h *wirepb.RequestHead) (size, fields int) {
	for _, f := range h.GetHeaders() {
		size += len(f.GetName()) + len(f.GetValue())
	}
	packed := h.GetPackedHeaders()
	return size + len(packed), len(h.GetHeaders()) + bytes.Count(packed, []byte(fieldEnd))/2
}
