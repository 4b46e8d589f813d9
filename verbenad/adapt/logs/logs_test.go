package logs_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenabank/verbenad/adapt/logs"
)

// blocked is an output whose reader takes nothing until it is opened.
type blocked struct {
	open chan struct{}
	bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.open
	return b.Buffer.Write(p)
}

func TestBlockedOutputHoldsNobodyUpAndDropsAreCounted(t *testing.T) {
	is := is.New(t)
	out := &blocked{open: make(chan struct{})}
	w, stop := logs.New(out)
	begun := time.Now()
	for n := range 5000 {
		_, err := fmt.Fprintf(w, "line %d\n", n)
		is.NoErr(err)
	}
	is.True(time.Since(begun) < time.Second)
	is.True(w.Dropped() >= 2900)
	close(out.open)
	time.Sleep(50 * time.Millisecond)
	_, _ = w.Write([]byte("last\n"))
	stop()
	is.True(strings.Contains(out.String(), fmt.Sprintf("\"dropped\":%d", w.Dropped())))
	is.True(strings.HasSuffix(out.String(), "last\n"))
}
