package front_test

import (
	"context"
	"io"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"verbenabank/core/state/call"
)

// TestResetConnectionIsLogged sends a request behind one whose response breaks off: its response is lost too,
// and the log says why.
func TestResetConnectionIsLogged(t *testing.T) {
	is := is.New(t)
	lines := test.NewLocal(logrus.StandardLogger())
	t.Cleanup(func() { logrus.StandardLogger().ReplaceHooks(logrus.LevelHooks{}) })
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
