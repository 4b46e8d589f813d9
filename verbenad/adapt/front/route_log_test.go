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

// TestRequestWithoutRouteIsLoggedWithWhatDidNotMatch guards against a log line that does not tell which route is
// missing.
func TestRequestWithoutRouteIsLoggedWithWhatDidNotMatch(t *testing.T) {
	is := is.New(t)
	lines := test.NewLocal(logrus.StandardLogger())
	t.Cleanup(func() { logrus.StandardLogger().ReplaceHooks(logrus.LevelHooks{}) })
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
