package hop_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"verbenabank/core/state/call"
	"verbenabank/core/wire/hopmsg"
	"verbenabank/core/wire/wirepb"
	"verbenabank/verbenad/command/memory"
	"verbenabank/verbenad/command/memory/memtest"
)

const (
	// keptPerByte bounds what a message of another daemon keeps when it is decoded, for each of its bytes: an empty field
	// has two.
	keptPerByte = 100
	// slackBytes is what the runtime keeps besides.
	slackBytes = 96 << 10
)

// FuzzRequestMessage checks that a message of any bytes is decoded or rejected, that what is kept of it is bounded, and that
// the fields of a decoded head pass another hop unchanged within what the memory budget counts.
func FuzzRequestMessage(f *testing.F) {
	for _, count := range []int{0, 3, 64, 65, 2000} {
		m, _ := proto.Marshal(hopmsg.EncodeRequestHead(call.NewRequest("s", "GET", "/", call.WithFields(manyFields(count))), false))
		f.Add(m)
	}
	for _, packed := range []string{"", "a", "a\n", "a\nb", "a\nb\n", "\n", "\n\n\n", "a\nb\nc"} {
		m, _ := proto.Marshal(&wirepb.RequestPart{Part: &wirepb.RequestPart_Head{Head: &wirepb.RequestHead{PackedHeaders: []byte(packed)}}})
		f.Add(m)
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		var fields []call.Field
		size, count := 0, 0
		kept := memtest.Kept(func() any {
			var m wirepb.RequestPart
			if proto.Unmarshal(input, &m) != nil || m.GetHead() == nil {
				return nil
			}
			size, count = hopmsg.HeadSize(m.GetHead())
			fields = hopmsg.DecodeRequest(m.GetHead(), nil).Fields()
			return &m
		})
		if kept > int64(len(input))*keptPerByte+slackBytes || kept > memory.HeadBytes(size+len(input), count)+slackBytes {
			t.Errorf("a message of %d bytes with %d fields keeps %d", len(input), count, kept)
		}
		again := hopmsg.DecodeRequest(hopmsg.EncodeRequestHead(call.NewRequest("", "", "", call.WithFields(fields)), false).GetHead(), nil).Fields()
		if len(again) != len(fields) {
			t.Fatalf("%d fields became %d", len(fields), len(again))
		}
		for n := range fields {
			if fields[n] != again[n] {
				t.Fatalf("%q became %q", fields[n], again[n])
			}
		}
	})
}
