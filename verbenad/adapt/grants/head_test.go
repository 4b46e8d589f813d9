package grants_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/command/hold"
	"verbenabank/core/wire/heads/headtest"
)

// oddHeads are heads of responses of a process in trouble, without their status lines.
var oddHeads = map[string]string{
	"blank in a name":        "X Odd: v\r\nName: p\r\nCold: 5\r\nContent-Length: 0\r\n\r\n",
	"blank before the colon": "Name: p\r\nCold: 5\r\nContent-Length : 0\r\n\r\n",
	"blank at the start":     "Content-Length: 0\r\nName: p\r\nCold: 5\r\nA: b\r\n X-Odd: v\r\n\r\n",
	"tab at the start":       "Content-Length: 0\r\nName: p\r\nCold: 5\r\nA: b\r\n\tX-Odd: v\r\n\r\n",
	"newline at the start":   "Content-Length: 0\r\nName: p\r\nCold: 5\r\n\nX-Odd: v\r\n\r\n",
	"control byte in a name": "X\x01Odd: v\r\nName: p\r\nCold: 5\r\nContent-Length: 0\r\n\r\n",
}

const (
	okLine    = "HTTP/1.1 200 OK\r\n"
	soundHead = okLine + "Name: p\r\nCold: 5\r\nContent-Length: 0\r\n\r\n"
)

// startRaw returns the address of a process that answers health requests and calls with the texts.
func startRaw(t *testing.T, health, answer string) string {
	return headtest.Start(t, func(_ int, r *http.Request) (string, bool) {
		if r.Method == http.MethodGet {
			return health, true
		}
		return answer, true
	})
}

// TestBrokenResponsesAreNoAnswersToCalls guards against a grant or a release that counts as answered although the head
// of the response is that of a process in trouble: the call may take effect, or not.
func TestBrokenResponsesAreNoAnswersToCalls(t *testing.T) {
	texts := map[string]string{
		"status 000":  "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n",
		"odd interim": "HTTP/1.1 103 Early Hints\r\nX Odd: v\r\n\r\n" + soundHead,
	}
	for name, h := range oddHeads {
		texts[name] = okLine + h
	}
	for name, text := range texts {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newClient(t, "p", startRaw(t, soundHead, text))
			for _, call := range []hold.Call{hold.Grant{}, hold.Release{}} {
				is.Equal(send(c, call), hold.Result(hold.Unanswered{}))
			}
		})
	}
}

// TestBrokenHealthResponsesNameNoProcess guards against calls that are sent, and cold times that are used, since a response
// with a broken head names the process.
func TestBrokenHealthResponsesNameNoProcess(t *testing.T) {
	texts := map[string]string{"status 000": "HTTP/1.1 000 OK\r\nName: p\r\nCold: 5\r\nContent-Length: 0\r\n\r\n"}
	for name, h := range oddHeads {
		texts[name] = okLine + h
	}
	for name, text := range texts {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newClient(t, "p", startRaw(t, text, soundHead))
			is.Equal(send(c, hold.Grant{}), hold.Result(hold.Unreached{}))
			results := make(chan hold.Result, 1)
			c.Identify(func(r hold.Result) { results <- r })
			is.Equal(<-results, hold.Result(hold.Unreached{}))
			answered := make(chan bool, 1)
			c.AskCold(func(_ clock.Millis, ok bool) { answered <- ok })
			is.True(!<-answered)
		})
	}
}
