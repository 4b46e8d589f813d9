package front_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"verbenabank/core/state/call"
)

// recordLog records the lines that servers log until the test ends.
func recordLog(t *testing.T) *test.Hook {
	t.Cleanup(func() { logrus.StandardLogger().ReplaceHooks(logrus.LevelHooks{}) })
	return test.NewLocal(logrus.StandardLogger())
}

// TestResetConnectionIsLogged sends a request behind one whose response breaks off: its response is lost too,
// and the log says why.
func TestResetConnectionIsLogged(t *testing.T) {
	is := is.New(t)
	lines := recordLog(t)
	second := make(chan struct{})
	_, address := startServer(t, 5000, func(ctx context.Context, r call.Request) call.Reply {
		if r.URI() == "/p/2" {
			close(second)
			<-ctx.Done()
			return newResponse("whole", 5)
		}
		<-second
		return call.NewResponse(200, nil, &truncatedBody{left: 40 << 10}, -1)
	})
	c, r := dial(t, address)
	_, err := io.WriteString(c, getRequest("/p/1")+getRequest("/p/2"))
	is.NoErr(err)
	_, err = io.ReadAll(r)
	is.True(err != nil) // the connection is reset

	reset := 0
	for _, e := range lines.AllEntries() {
		if e.Message != "front: connection of the caller is reset" {
			continue
		}
		reset++
		is.Equal(e.Data["reason"], "truncated")
		is.Equal(e.Data["in_flight"], int32(2))
	}
	is.Equal(reset, 1)
}

// TestRequestWithoutRouteIsLoggedWithWhatDidNotMatch guards against a log line that does not tell which route is
// missing.
func TestRequestWithoutRouteIsLoggedWithWhatDidNotMatch(t *testing.T) {
	is := is.New(t)
	lines := recordLog(t)
	_, address := startServer(t, 2000, func(context.Context, call.Request) call.Reply { return newResponse("", 0) })
	c, r := dial(t, address)
	_, err := io.WriteString(c, getRequest("/other/"+strings.Repeat("a", 100)+"?secret=1"))
	is.NoErr(err)
	_, _ = readResponse(t, r)
	for end := time.Now().Add(2 * time.Second); lines.LastEntry() == nil && time.Now().Before(end); {
		time.Sleep(time.Millisecond) // the line is written after the response
	}
	e := lines.LastEntry()
	is.True(e != nil)
	is.Equal(e.Data["reason"], "unknown-route")
	is.Equal(e.Data["host"], "h")
	is.Equal(e.Data["path"], "/other/"+strings.Repeat("a", 57))
}
