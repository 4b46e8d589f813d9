package reqlog_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"verbenabank/core/clock"
	"verbenabank/core/state/result"
	"verbenabank/verbenad/command/reqlog"
)

func TestVolumeIsBoundedAndTheRestIsCounted(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	l := logrus.New()
	l.SetOutput(&out)
	l.SetFormatter(&logrus.JSONFormatter{})
	now := clock.NewManual(5 * clock.Second)
	s := reqlog.New(clock.New(clock.WithSource(now.Now)), logrus.NewEntry(l), "front")
	tell := func(o result.Outcome) { s.LogOutcome(o, func() logrus.Fields { return logrus.Fields{"request": "r"} }) }
	for range 500 {
		tell(result.NewRefused(result.Overloaded, 0))
		tell(result.NewAnswered(200))
	}
	tell(result.NewUnknown(result.Truncated))
	is.Equal(strings.Count(out.String(), "\n"), 11)
	now.Advance(clock.Second)
	tell(result.NewRefused(result.Overloaded, 0))
	is.True(strings.Contains(out.String(), `"more":490`))
}
