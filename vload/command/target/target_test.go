package target

import (
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/vload/adapt/jsonl"
	"verbenabank/vload/query/body"
	"verbenabank/vload/state/ledger"
	"verbenabank/vload/state/server"
)

// start runs a target on a free port of 127.0.0.1 and returns its address and the path of its ledger.
func start(t *testing.T, opts ...server.Option) (string, string) {
	t.Helper()
	is := is.New(t)
	free, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := free.Addr().String()
	is.NoErr(free.Close())
	path := filepath.Join(t.TempDir(), "ledger")
	target, stop, err := New(WithSettings(server.NewSettings("catalogue-1", "catalogue", address, "", path, server.New(opts...))))
	is.NoErr(err)
	served := make(chan error, 1)
	go func() { served <- target.Serve() }()
	t.Cleanup(func() {
		stop()
		is.NoErr(<-served)
	})
	return address, path
}

func send(address, id string, epoch int, lease clock.Millis, timeout time.Duration) (int, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/catalogue/tent", nil)
	if err != nil {
		return 0, err
	}
	request.Header.Set(body.IDHeader, id)
	request.Header.Set("Verbena-Shard", "3")
	request.Header.Set("Verbena-Request-Id", "v-"+id)
	request.Header.Set("Verbena-Epoch", fmt.Sprint(epoch))
	request.Header.Set("Verbena-Lease-Until", fmt.Sprint(int64(lease)))
	response, err := (&http.Client{Timeout: timeout}).Do(request)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

func TestFencedTargetRejectsStaleRequests(t *testing.T) {
	is := is.New(t)
	address, path := start(t, server.WithFencing(server.AtCommit{}), server.WithServiceTimes(map[string]clock.Millis{"POST": 150}, server.Fixed{}))
	now := clock.New().Now()
	for _, c := range []struct {
		id     string
		epoch  int
		lease  clock.Millis
		status int
	}{
		{"fresh", 5, now + clock.Minute, 200},
		{"older", 4, now + clock.Minute, 412},
		{"expired", 5, now - 1, 412},
		{"expires", 5, now + 350, 412}, // its lease expires while it runs
	} {
		status, err := send(address, c.id, c.epoch, c.lease, 5*time.Second)
		is.NoErr(err)
		is.Equal(status, c.status) // unexpected status
	}
	recorded, err := jsonl.Read(path)
	is.NoErr(err)
	is.Equal(len(recorded.Executions()), 2)
	_, committed := recorded.Executions()[0].Outcome().(ledger.Committed)
	is.True(committed)
	_, aborted := recorded.Executions()[1].Outcome().(ledger.Aborted)
	is.True(aborted)
}

func TestAbandonedRequestIsAborted(t *testing.T) {
	is := is.New(t)
	address, path := start(t, server.WithServiceTimes(map[string]clock.Millis{"POST": 2000}, server.Fixed{}))
	_, err := send(address, "1", 1, 0, 200*time.Millisecond)
	is.True(err != nil)
	time.Sleep(200 * time.Millisecond)
	recorded, err := jsonl.Read(path)
	is.NoErr(err)
	_, aborted := recorded.Executions()[0].Outcome().(ledger.Aborted)
	is.True(aborted)
}

func TestLeaseExtensionLetsRequestCommit(t *testing.T) {
	is := is.New(t)
	address, _ := start(t, server.WithFencing(server.AtCommit{}), server.WithServiceTimes(map[string]clock.Millis{"POST": 300}, server.Fixed{}))
	now := clock.New().Now()
	statuses := map[string]chan int{"kept": make(chan int, 1), "left": make(chan int, 1)}
	for id, got := range statuses {
		go func() {
			status, _ := send(address, id, 5, now+200, 5*time.Second)
			got <- status
		}()
	}
	time.Sleep(100 * time.Millisecond)
	extension := fmt.Sprintf(`{"until": %d, "requests": ["v-kept"]}`, now+clock.Minute)
	q, err := http.NewRequest(http.MethodPut, "http://"+address+LeasePath, strings.NewReader(extension))
	is.NoErr(err)
	response, err := http.DefaultClient.Do(q)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusNoContent)
	is.NoErr(response.Body.Close())
	is.Equal(<-statuses["kept"], 200)
	is.Equal(<-statuses["left"], 412)
}
