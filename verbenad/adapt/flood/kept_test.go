package flood

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
	"verbenabank/verbenad/adapt/target"
)

// behind are bytes without end that come behind a whole answer.
var behind = map[string]*flood{
	"no HTTP": {piece: "festoon "}, "no HTTP, dripping": {piece: "festoon ", pause: 2 * time.Millisecond},
	"answers": {piece: wholeAnswer}, "answers, dripping": {piece: wholeAnswer, pause: 2 * time.Millisecond},
	"blank lines": {piece: "\r\n"}, "one byte a moment": {piece: "\x00", pause: 20 * time.Millisecond},
}

const (
	wholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	// arrival is how long bytes behind an answer take to be there.
	arrival = 50 * time.Millisecond
)

func asked(x *target.Target) string {
	ctx, cancel := context.WithTimeout(context.Background(), fastWait)
	defer cancel()
	return drain(x.Send(ctx, call.NewAttempt(func() (call.Request, result.Reason) { return call.NewRequest("s", "GET", "/"), "" }, func() {})))
}

func TestBytesBehindAnAnswerReachNoRequest(t *testing.T) {
	for name, k := range behind {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := &flood{text: wholeAnswer, piece: k.piece, pause: k.pause}
			f.start(t)
			x, stop := target.New(target.WithLinger(floodSettle))
			defer stop()
			x.SetAddress(f.address)
			memory := peak()
			for range 5 {
				is.Equal(asked(x), "answered")
				time.Sleep(arrival)
			}
			for range 4 {
				f.awaitClose(t)
			}
			is.True(memory() < floodMemory)
		})
	}
}

func TestConnectionWithBytesBehindAnAnswerIsClosedWithoutARequest(t *testing.T) {
	for name, k := range behind {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := &flood{text: wholeAnswer, piece: k.piece, pause: k.pause}
			f.start(t)
			x, stop := target.New(target.WithLinger(floodSettle))
			defer stop()
			x.SetAddress(f.address)
			is.Equal(asked(x), "answered")
			f.awaitClose(t)
		})
	}
}
