package proof

import (
	"io"
	"net/http"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"verbenabank/core/clock"
	"verbenabank/vload/adapt/jsonl"
)

// slowBody is an upload that takes its time.
type slowBody struct {
	left  int
	pause time.Duration
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(b.pause)
	n := min(len(p), b.left, 64<<10)
	b.left -= n
	return n, nil
}

// upload sends a large body slowly and returns how it ended.
func upload(entry *host, key string) (string, int) {
	body := &slowBody{left: 8 << 20, pause: 8 * time.Millisecond}
	q, err := http.NewRequest(http.MethodPut, "http://"+entry.ip+":8080/"+service+"/"+key, body)
	if err != nil {
		return err.Error(), 0
	}
	q.ContentLength = 8 << 20
	q.Header.Set("X-Vload-Id", "upload-"+key)
	q.Header.Set("X-Vload-Key", key)
	a, err := (&http.Client{Timeout: 20 * time.Second}).Do(q)
	if err != nil {
		return err.Error(), 0
	}
	defer func() { _ = a.Body.Close() }()
	if _, err := io.Copy(io.Discard, a.Body); err != nil {
		return err.Error(), a.StatusCode
	}
	return a.Header.Get("Verbena-Outcome") + a.Header.Get("Verbena-Reason"), a.StatusCode
}

// leave stops something gracefully while requests and slow uploads for its keys
// are in flight; none of them may be cut off.
func (f *fleet) leave(stop func()) {
	f.t.Helper()
	victim := f.hosts[3]
	owned := f.keysOf(victim)
	entries := f.others(victim)
	r := f.send(entries, keys...)
	outcomes := make(chan string, 3)
	for _, k := range owned[:3] {
		go func() {
			o, _ := upload(entries[0], k)
			outcomes <- o
		}()
	}
	time.Sleep(300 * time.Millisecond)
	stop()
	for range 3 {
		if o := <-outcomes; o != "answered" {
			f.t.Errorf("an upload in flight ended with %s", o)
		}
	}
	time.Sleep(time.Second)
	calls := r.finish()
	f.judge(calls)
	for _, c := range calls {
		if c.outcome != "answered" {
			f.t.Errorf("%s: %s %s", c.id, c.outcome, c.reason)
		}
	}
}

// keysOf returns keys that the host owns.
func (f *fleet) keysOf(h *host) []string {
	var list []string
	for n := 0; len(list) < 3 && n < 1000; n++ {
		k := "u" + string(rune('a'+n%26)) + string(rune('a'+n/26))
		if f.owner(f.hosts[0], k) == h {
			list = append(list, k)
		}
	}
	if len(list) < 3 {
		f.t.Fatal("the host owns no keys")
	}
	return list
}

func TestPlannedStopOfATarget(t *testing.T) {
	t.Parallel()
	newFleet(t, 74, 4).leaveTarget(syscall.SIGTERM)
}

// TestHangupEndsATarget guards against a stand-in target that a closed terminal ends at once.
func TestHangupEndsATarget(t *testing.T) {
	t.Parallel()
	newFleet(t, 89, 4).leaveTarget(syscall.SIGHUP)
}

// leaveTarget wants a target to leave gracefully at a signal.
func (f *fleet) leaveTarget(s syscall.Signal) {
	f.t.Helper()
	victim := f.hosts[3]
	f.leave(func() {
		_ = victim.target.Signal(s)
		if err := victim.target.Wait(); err != nil {
			f.t.Errorf("the target ended with %v", err)
		}
	})
	f.nothingAfterLeave(victim)
}

func TestPlannedStopOfADaemon(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 75, 4)
	victim := f.hosts[3]
	f.leave(func() {
		_ = victim.daemon.Signal(syscall.SIGTERM)
		if err := victim.daemon.Wait(); err != nil {
			t.Errorf("the daemon ended with %v", err)
		}
	})
}

func TestPlannedStopOfTheLeader(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 76, 4)
	victim := f.leader()
	r := f.send(f.others(victim), keys...)
	time.Sleep(500 * time.Millisecond)
	_ = victim.daemon.Signal(syscall.SIGTERM)
	if err := victim.daemon.Wait(); err != nil {
		t.Errorf("the daemon ended with %v", err)
	}
	time.Sleep(2 * time.Second)
	calls := r.finish()
	f.judge(calls)
	for _, c := range calls {
		if c.outcome != "answered" {
			t.Errorf("%s: %s %s", c.id, c.outcome, c.reason)
		}
	}
}

// newWorkWithin is the bound on new work at a leaving target.
const newWorkWithin = 3 * clock.Second

// nothingAfterLeave looks into the target's ledger for work that began after it
// left.
func (f *fleet) nothingAfterLeave(h *host) {
	f.t.Helper()
	l, err := jsonl.Read(filepath.Join(h.folder, "ledger.jsonl"))
	f.must(err)
	if len(l.Shutdowns()) != 1 {
		f.t.Fatalf("%d leaves recorded", len(l.Shutdowns()))
	}
	left := l.Shutdowns()[0].At()
	for _, x := range l.Executions() {
		if x.Begin() > left+newWorkWithin {
			f.t.Errorf("%s began %d ms after the leave", x.Request().ID(), x.Begin()-left)
		}
	}
}
