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

// start runs a target on a free port of 127.0.0.1 and returns its address and
// ledger.
func start(t *testing.T, opts ...server.Option) (string, string) {
	t.Helper()
	is := is.New(t)
	free, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := free.Addr().String()
	is.NoErr(free.Close())
	path := filepath.Join(t.TempDir(), "ledger")
	g, stop, err := New(WithSettings(server.NewSettings("catalogue-1", "catalogue", address, "", path, server.New(opts...))))
	is.NoErr(err)
	served := make(chan error, 1)
	go func() { served <- g.Serve() }()
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
	answer, err := (&http.Client{Timeout: timeout}).Do(request)
	if err != nil {
		return 0, err
	}
	return answer.StatusCode, answer.Body.Close()
}

func TestFencedTargetRefusesOldOwners(t *testing.T) {
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
		{"lapsed", 5, now - 1, 412},
		{"lapses", 5, now + 350, 412}, // its lease ends while it runs
	} {
		status, err := send(address, c.id, c.epoch, c.lease, 5*time.Second)
		is.NoErr(err)
		is.Equal(status, c.status) // unexpected answer
	}
	written, err := jsonl.Read(path)
	is.NoErr(err)
	is.Equal(len(written.Executions()), 2)
	_, committed := written.Executions()[0].Outcome().(ledger.Committed)
	is.True(committed)
	_, aborted := written.Executions()[1].Outcome().(ledger.Aborted)
	is.True(aborted)
}

func TestGivenUpRequestIsAborted(t *testing.T) {
	is := is.New(t)
	address, path := start(t, server.WithServiceTimes(map[string]clock.Millis{"POST": 2000}, server.Fixed{}))
	_, err := send(address, "1", 1, 0, 200*time.Millisecond)
	is.True(err != nil)
	time.Sleep(200 * time.Millisecond)
	written, err := jsonl.Read(path)
	is.NoErr(err)
	_, aborted := written.Executions()[0].Outcome().(ledger.Aborted)
	is.True(aborted)
}

func TestExtendedRequestTakesEffect(t *testing.T) {
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
	text := fmt.Sprintf(`{"until": %d, "requests": ["v-kept"]}`, now+clock.Minute)
	q, err := http.NewRequest(http.MethodPut, "http://"+address+LeasePath, strings.NewReader(text))
	is.NoErr(err)
	answer, err := http.DefaultClient.Do(q)
	is.NoErr(err)
	is.Equal(answer.StatusCode, http.StatusNoContent)
	is.NoErr(answer.Body.Close())
	is.Equal(<-statuses["kept"], 200)
	is.Equal(<-statuses["left"], 412)
}
