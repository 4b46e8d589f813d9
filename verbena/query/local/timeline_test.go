package local_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"verbenabank/verbena/query/local"
	"verbenabank/verbena/query/show"
)

// Log lines of an entry daemon, an owner and the leader about the key 300.
const (
	entryLog = `{"asked":2,"by":"m-2","instance":"m-1","key":"300","level":"info","msg":"front: request has no answer","outcome":"refused","reason":"overloaded","request":"abc","time":"2026-04-05T02:52:24.030Z"}
not json
{"instance":"m-1","level":"info","msg":"serve: daemon is up","time":"2026-04-05T02:52:20.000Z"}
`
	ownerLog = `{"busy":12,"instance":"m-2","key":"300","level":"info","msg":"owner: request has no answer","reason":"overloaded","request":"abc","time":"2026-04-05T02:52:24.020Z","waiting":9}
{"epoch":7,"first":256,"instance":"m-2","last":511,"level":"warning","msg":"keeper: no answer, the order may take effect late","order":"/grant","time":"2026-04-05T02:52:23.000Z"}
`
	leaderLog = `{"from":"m-3","instance":"c-1","level":"info","msg":"ctrl: change of the fleet","outcome":"moved at epoch 7","subject":"keys s/256-511","time":"2026-04-05T02:52:22.000Z","to":"m-2"}
{"from":"m-3","instance":"c-1","level":"info","msg":"ctrl: change of the fleet","outcome":"moved at epoch 8","subject":"keys s/512-600","time":"2026-04-05T02:52:22.500Z","to":"m-2"}
`
)

func writeLogs(t *testing.T) []string {
	var list []string
	for name, text := range map[string]string{"entry": entryLog, "owner": ownerLog, "leader": leaderLog} {
		path := filepath.Join(t.TempDir(), name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		list = append(list, path)
	}
	return list
}

func renderText(t *testing.T, r show.Report) string {
	var out bytes.Buffer
	if err := show.Write(&out, show.Text{}, r); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

func TestRequestTimelineIsInTimeOrder(t *testing.T) {
	is := is.New(t)
	r, err := local.RequestTimeline("abc", writeLogs(t))
	is.NoErr(err)
	lines := strings.Split(renderText(t, r), "\n")
	is.True(strings.Contains(lines[0], "keeper:")) // state of the owner's daemon, 1 s before the request failed
	is.True(strings.Contains(lines[1], "owner:") && strings.Contains(lines[1], "waiting=9"))
	is.True(strings.Contains(lines[2], "front:") && strings.Contains(lines[2], "asked=2"))
	is.True(strings.HasPrefix(lines[3], "1 lines"))
}

func TestKeyTimelineShowsOwnersAndRequests(t *testing.T) {
	is := is.New(t)
	r, err := local.KeyTimeline(300, writeLogs(t))
	is.NoErr(err)
	lines := strings.Split(renderText(t, r), "\n")
	is.True(strings.Contains(lines[0], "moved at epoch 7"))
	is.True(strings.Contains(lines[1], "keeper:"))
	is.True(strings.Contains(lines[3], "front:"))
	is.True(!strings.Contains(renderText(t, r), "epoch 8"))
}

// TestKeyTimelineShowsWhatTargetsReport covers a range that was offered to a target which never reports to hold it.
func TestKeyTimelineShowsWhatTargetsReport(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "log")
	is.NoErr(os.WriteFile(path, []byte(`{"instance":"m-2","msg":"keeper: target is offered other keys","offered":"0-255@3 256-511@7","time":"2026-04-05T02:52:23.000Z"}
{"instance":"m-2","msg":"keeper: target reports other keys","held":"0-255@3","freed":"","time":"2026-04-05T02:52:24.000Z"}
{"instance":"m-3","msg":"keeper: target reports other keys","held":"","freed":"300-400","time":"2026-04-05T02:52:22.000Z"}
`), 0o600))
	r, err := local.KeyTimeline(300, []string{path})
	is.NoErr(err)
	lines := strings.Split(strings.TrimSpace(renderText(t, r)), "\n")
	is.Equal(len(lines), 2)
	is.True(strings.Contains(lines[0], "freed=300-400"))
	is.True(strings.Contains(lines[1], "offered=0-255@3 256-511@7"))
}

// documentedRequests are the failed requests whose timelines OPERATIONS.md explains. The log lines
// in testdata are from the incidents in which they failed.
var documentedRequests = []string{"f42c79bf6f494f74", "b0e728ebe7edc649", "9c14c80e45718d5c"}

// TestTimelinesMatchOperationsPage guards against output that differs from what OPERATIONS.md
// shows for the same logs.
func TestTimelinesMatchOperationsPage(t *testing.T) {
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, id := range documentedRequests {
		r, err := local.RequestTimeline(id, []string{"testdata/incidents.log"})
		if err != nil {
			t.Fatal(err)
		}
		_, want, ok := strings.Cut(string(page), "$ verbena story --request "+id+" -- logs/*\n")
		want, _, closed := strings.Cut(want, "```")
		if !ok || !closed {
			t.Fatalf("OPERATIONS.md has no timeline of request %s", id)
		}
		if got := renderText(t, r); strings.TrimSpace(got) != strings.TrimSpace(want) {
			t.Fatalf("timeline of request %s:\n%s\nOPERATIONS.md has:\n%s", id, got, want)
		}
	}
}

func TestEmptyTimelineIsAProblem(t *testing.T) {
	r, err := local.RequestTimeline("xyz", writeLogs(t))
	is.New(t).NoErr(err)
	is.New(t).Equal(r.Status(), show.Problem)
}
