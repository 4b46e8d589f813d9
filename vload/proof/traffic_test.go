package proof

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"verbenabank/vload/adapt/jsonl"
	"verbenabank/vload/state/ledger"
)

// call is one request as its caller saw it. The outcome is that of the daemon, or
// "unknown" if no complete response arrived.
type call struct {
	id      string
	key     string
	begin   time.Time
	end     time.Time
	outcome string
	reason  string
}

// traffic sends non-repeatable requests (POST) and records their outcomes.
type traffic struct {
	fleet   *fleet
	stop    chan struct{}
	workers sync.WaitGroup
	mu      sync.Mutex
	calls   []call
}

// startTraffic sends requests for the keys in the background, each key through one
// of the entry hosts.
func (f *fleet) startTraffic(entries []*host, keys ...string) *traffic {
	r := &traffic{fleet: f, stop: make(chan struct{})}
	for n, k := range keys {
		r.workers.Add(1)
		go r.sendAll(entries[n%len(entries)], k)
	}
	return r
}

// sendAll sends one request every 20 ms without waiting for responses (open loop).
func (r *traffic) sendAll(entry *host, key string) {
	defer r.workers.Done()
	client := &http.Client{Timeout: 6 * time.Second}
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-r.stop:
			return
		case <-ticker.C:
		}
		r.workers.Add(1)
		go func() {
			defer r.workers.Done()
			c := post(client, entry, key, fmt.Sprintf("%s-%d", key, n))
			r.mu.Lock()
			defer r.mu.Unlock()
			r.calls = append(r.calls, c)
		}()
	}
}

func post(client *http.Client, entry *host, key, id string) call {
	c := call{id: id, key: key, begin: time.Now(), outcome: "unknown"}
	q, err := http.NewRequest(http.MethodPost, "http://"+entry.ip+":8080/"+service+"/"+key, bytes.NewReader(make([]byte, 200)))
	if err == nil {
		q.Header.Set("X-Vload-Id", id)
		q.Header.Set("X-Vload-Key", key)
		var a *http.Response
		if a, err = client.Do(q); err == nil {
			c.outcome = a.Header.Get("Verbena-Outcome")
			c.reason = a.Header.Get("Verbena-Reason")
			if _, err = io.Copy(io.Discard, a.Body); err != nil {
				c.outcome = "unknown"
			}
			_ = a.Body.Close()
		}
	}
	c.end = time.Now()
	return c
}

// finish stops sending, waits for the requests in flight and returns all calls.
func (r *traffic) finish() []call {
	close(r.stop)
	r.workers.Wait()
	return r.calls
}

// longestGap returns the longest time between two responses for the key after an
// instant.
func longestGap(calls []call, key string, after time.Time) time.Duration {
	longest, last := time.Duration(0), after
	for _, c := range answerTimes(calls, key, after) {
		longest = max(longest, c.Sub(last))
		last = c
	}
	return longest
}

// answerTimes returns the sorted times of the responses for the key after an instant.
func answerTimes(calls []call, key string, after time.Time) []time.Time {
	var list []time.Time
	for _, c := range calls {
		if c.key == key && c.outcome == "answered" && c.end.After(after) {
			list = append(list, c.end)
		}
	}
	for i := range list {
		for j := i; j > 0 && list[j].Before(list[j-1]); j-- {
			list[j], list[j-1] = list[j-1], list[j]
		}
	}
	return list
}

// checkCalls compares the outcomes that callers received with the ledgers of the
// targets: no request may run twice, no refused request may run, and every answered
// request must have run.
func (f *fleet) checkCalls(calls []call) {
	f.t.Helper()
	var paths []string
	for _, h := range f.hosts {
		paths = append(paths, filepath.Join(h.folder, "ledger.jsonl"))
	}
	l, err := jsonl.Read(paths...)
	f.must(err)
	ran := map[string]int{}
	for _, x := range l.Executions() {
		if x.MayHaveCommitted() {
			ran[x.Request().ID()]++
		}
	}
	outcomes := map[string]int{}
	for _, c := range calls {
		outcomes[c.outcome]++
		switch n := ran[c.id]; {
		case n > 1:
			f.t.Errorf("%s ran %d times", c.id, n)
		case n == 1 && c.outcome == "refused":
			f.t.Errorf("%s was refused and ran", c.id)
		case n == 0 && c.outcome == "answered":
			f.t.Errorf("%s was answered and did not run", c.id)
		}
	}
	f.checkExclusivity(l.Executions())
	f.t.Logf("outcomes %v, executions %d", outcomes, len(l.Executions()))
	if outcomes["answered"] < len(calls)/4 || len(calls) < 100 {
		f.t.Errorf("too few calls or answers for the checks to be meaningful: %v", outcomes)
	}
}

// checkExclusivity fails the test if two targets ran requests of one key at the same
// time, or if an older epoch of a shard ran after a newer one.
func (f *fleet) checkExclusivity(executions []ledger.Execution) {
	f.t.Helper()
	for i, x := range executions {
		for _, y := range executions[i+1:] {
			if x.Request().Key() != y.Request().Key() || x.Instance() == y.Instance() || !x.MayHaveCommitted() || !y.MayHaveCommitted() {
				continue
			}
			if x.Begin() < y.End() && y.Begin() < x.End() {
				f.t.Errorf("key %s ran at %s and %s at once", x.Request().Key(), x.Instance(), y.Instance())
			}
			if x.Request().Shard() == y.Request().Shard() && (x.Request().Epoch() < y.Request().Epoch()) != (x.Begin() < y.Begin()) {
				f.t.Errorf("key %s: epoch %d at %s and %d at %s out of order", x.Request().Key(),
					x.Request().Epoch(), x.Instance(), y.Request().Epoch(), y.Instance())
			}
		}
	}
}
