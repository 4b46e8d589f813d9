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

// throttledBody is an upload body whose parts are due one pause after the other. Late parts
// don't delay those behind them, so that the upload takes no longer on a busy machine.
type throttledBody struct {
	remaining int
	pause     time.Duration
	due       time.Time
}

func (b *throttledBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	b.due = b.due.Add(b.pause)
	time.Sleep(time.Until(b.due))
	n := min(len(p), b.remaining, 64<<10)
	b.remaining -= n
	return n, nil
}

// upload sends 8 MiB slowly and returns the outcome and the status code.
func upload(entry *host, key string) (string, int) {
	body := &throttledBody{remaining: 8 << 20, pause: 8 * time.Millisecond, due: time.Now()}
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

// checkGracefulStop runs a graceful stop while requests and slow uploads for the
// keys of the last host are in flight. Every one of them must be answered.
func (f *fleet) checkGracefulStop(stop func()) {
	f.t.Helper()
	victim := f.hosts[3]
	owned := f.keysOf(victim)
	entries := f.hostsExcept(victim)
	r := f.startTraffic(entries, keys...)
	outcomes := make(chan string, 3)
	for _, k := range owned[:3] {
		go func() {
			begin := time.Now()
			o, _ := upload(entries[0], k)
			f.t.Logf("an upload took %v", time.Since(begin))
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
	f.checkCalls(calls)
	for _, c := range calls {
		if c.outcome != "answered" {
			f.t.Errorf("%s: %s %s", c.id, c.outcome, c.reason)
		}
	}
}

// keysOf returns three keys that the host owns.
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
	newFleet(t, 74, 4).checkTargetStop(syscall.SIGTERM)
}

// TestHangupEndsATarget guards against a stand-in target that exits without draining
// when its terminal is closed (SIGHUP).
func TestHangupEndsATarget(t *testing.T) {
	t.Parallel()
	newFleet(t, 89, 4).checkTargetStop(syscall.SIGHUP)
}

// checkTargetStop checks that the target shuts down gracefully on the signal.
func (f *fleet) checkTargetStop(s syscall.Signal) {
	f.t.Helper()
	victim := f.hosts[3]
	f.checkGracefulStop(func() {
		_ = victim.target.Signal(s)
		if err := victim.target.Wait(); err != nil {
			f.t.Errorf("the target ended with %v", err)
		}
	})
	f.checkNoLateWork(victim)
}

func TestPlannedStopOfADaemon(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 75, 4)
	victim := f.hosts[3]
	f.checkGracefulStop(func() {
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
	r := f.startTraffic(f.hostsExcept(victim), keys...)
	time.Sleep(500 * time.Millisecond)
	_ = victim.daemon.Signal(syscall.SIGTERM)
	if err := victim.daemon.Wait(); err != nil {
		t.Errorf("the daemon ended with %v", err)
	}
	time.Sleep(2 * time.Second)
	calls := r.finish()
	f.checkCalls(calls)
	for _, c := range calls {
		if c.outcome != "answered" {
			t.Errorf("%s: %s %s", c.id, c.outcome, c.reason)
		}
	}
}

// lateWorkLimit is how long after its announcement a target that shuts down may
// still begin new work.
const lateWorkLimit = 3 * clock.Second

// checkNoLateWork fails the test if the ledger of the target holds work that began
// later than lateWorkLimit after it announced its shutdown.
func (f *fleet) checkNoLateWork(h *host) {
	f.t.Helper()
	l, err := jsonl.Read(filepath.Join(h.folder, "ledger.jsonl"))
	f.must(err)
	if len(l.Shutdowns()) != 1 {
		f.t.Fatalf("the ledger holds %d shutdowns, want 1", len(l.Shutdowns()))
	}
	announced := l.Shutdowns()[0].At()
	for _, x := range l.Executions() {
		if x.Begin() > announced+lateWorkLimit {
			f.t.Errorf("%s began %d ms after the target announced its shutdown", x.Request().ID(), x.Begin()-announced)
		}
	}
}
