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

// blockedOutput is an output that blocks until open is closed.
type blockedOutput struct {
	open chan struct{}

	mu   sync.Mutex
	text bytes.Buffer
}

func (b *blockedOutput) Write(p []byte) (int, error) {
	<-b.open
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *blockedOutput) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// reportedDrops returns the sum of the dropped lines that the notices in text report.
func reportedDrops(text string) int64 {
	sum := int64(0)
	for _, m := range regexp.MustCompile(`"dropped":(\d+)`).FindAllStringSubmatch(text, -1) {
		n, _ := strconv.ParseInt(m[1], 10, 64)
		sum += n
	}
	return sum
}

// TestBlockedOutputDoesNotBlockWritersAndDropsAreCounted guards against a blocked output that holds up
// the process, and against drops that no notice reports. It repeats the last line until the queue
// accepts it, since draining may take any time; each attempt that is dropped counts.
func TestBlockedOutputDoesNotBlockWritersAndDropsAreCounted(t *testing.T) {
	is := is.New(t)
	out := &blockedOutput{open: make(chan struct{})}
	w, stop := logs.New(out)
	defer stop()
	start := time.Now()
	for n := range 5000 {
		_, err := fmt.Fprintf(w, "line %d\n", n)
		is.NoErr(err)
	}
	is.True(time.Since(start) < time.Second)
	is.True(w.Dropped() >= 2900)
	close(out.open)
	for before := int64(-1); before != w.Dropped(); time.Sleep(time.Millisecond) {
		before = w.Dropped()
		_, _ = w.Write([]byte("last\n"))
	}
	for deadline := time.Now().Add(5 * time.Second); !strings.HasSuffix(out.String(), "last\n") && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	is.True(strings.HasSuffix(out.String(), "last\n"))
	is.Equal(reportedDrops(out.String()), w.Dropped())
}
