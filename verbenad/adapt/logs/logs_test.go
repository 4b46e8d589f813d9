package logs_test

import (
	"bytes"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenabank/verbenad/adapt/logs"
)

// blocked is an output whose reader takes nothing until it is opened.
type blocked struct {
	open chan struct{}

	mu   sync.Mutex
	text bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.open
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *blocked) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// told is the sum of the drops that an output tells of.
func told(text string) int64 {
	sum := int64(0)
	for _, m := range regexp.MustCompile(`"dropped":(\d+)`).FindAllStringSubmatch(text, -1) {
		n, _ := strconv.ParseInt(m[1], 10, 64)
		sum += n
	}
	return sum
}

// TestBlockedOutputHoldsNobodyUpAndDropsAreCounted writes the last line until it is taken: the output
// may need any time to drain the queue, and each line that is dropped meanwhile counts.
func TestBlockedOutputHoldsNobodyUpAndDropsAreCounted(t *testing.T) {
	is := is.New(t)
	out := &blocked{open: make(chan struct{})}
	w, stop := logs.New(out)
	defer stop()
	begun := time.Now()
	for n := range 5000 {
		_, err := fmt.Fprintf(w, "line %d\n", n)
		is.NoErr(err)
	}
	is.True(time.Since(begun) < time.Second)
	is.True(w.Dropped() >= 2900)
	close(out.open)
	for before := int64(-1); before != w.Dropped(); time.Sleep(time.Millisecond) {
		before = w.Dropped()
		_, _ = w.Write([]byte("last\n"))
	}
	for end := time.Now().Add(5 * time.Second); !strings.HasSuffix(out.String(), "last\n") && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.True(strings.HasSuffix(out.String(), "last\n"))
	is.Equal(told(out.String()), w.Dropped())
}
